export * from './policy.js';
