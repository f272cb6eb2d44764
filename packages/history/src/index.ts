export * from './checkers.js';
export type * from './event.js';
export * from './recorder.js';
