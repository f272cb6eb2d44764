export * from './capacity.js';
export * from './policy-variant.js';
export * from './deployment.js';
export * from './experiment.js';
export * from './figures.js';
export * from './options.js';
export * from './scenario.js';
export * from './sweep.js';
