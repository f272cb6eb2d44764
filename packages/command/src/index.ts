export * from './exit-code.js';
export * from './program.js';
export * from './terminal.js';
