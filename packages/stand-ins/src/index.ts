export * from './memory-platform.js';
export * from './platform-stand-in.js';
