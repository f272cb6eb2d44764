export type * from './platform.js';
export * from './http-platform.js';
export * from './http-protocol.js';
