export * from './naive-policy.js';
