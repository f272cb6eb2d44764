export * from './memory-platform.js';
export * from './platform-stand-in.js';
export * from './target-stand-in.js';
export * from './child-process.js';
