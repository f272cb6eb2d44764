export type * from './caller-request.js';
export type * from './message-channel.js';
export * from './settings.js';
export {formatAddress, parseAddress, type Address} from './settings-address.js';
export type * from './target-client.js';
