export type * from './caller-request.js';
export type * from './message-channel.js';
export type * from './target-client.js';
