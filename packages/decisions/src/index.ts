export * from './egretspoke-policy.js';
export * from './policy.js';
