export * from './crash-detector.js';
export * from './request-identity.js';
