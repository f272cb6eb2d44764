export * from './client-crowd.js';
export * from './child-process.js';
export * from './memory-platform.js';
export * from './naive-policy.js';
export * from './platform-stand-in.js';
export * from './process-lines.js';
export * from './process-watch.js';
export * from './target-stand-in.js';
