export * from './clock.js';
export * from './finding.js';
export * from './random.js';
export * from './stream.js';
export * from './virtual-clock.js';
