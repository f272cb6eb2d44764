export * from './crash-detector.js';
export * from './isolation.js';
export * from './request-identity.js';
export * from './suspect.js';
export * from './suspect-table.js';
