export * from './handlers.js';
export * from './fault-kinds.js';
export * from './run-seeds.js';
export * from './schedule.js';
