export * from './node-core.js';
export * from './node-reporter.js';
export * from './request-chain.js';
export * from './settings.js';
export * from './supervisor.js';
export type * from './caller-request.js';
export type * from './message-channel.js';
export type * from './target-client.js';
export {formatAddress, parseAddress, type Address} from './settings-address.js';
