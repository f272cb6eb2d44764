export type * from './platform.js';
