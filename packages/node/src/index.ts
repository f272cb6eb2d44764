export * from './node-core.js';
export * from './node-reporter.js';
export * from './observing-reporter.js';
export * from './request-chain.js';
export * from './settings.js';
export type * from './caller-request.js';
export type * from './message-channel.js';
export type * from './target-client.js';
export * from './web-socket-transport.js';
