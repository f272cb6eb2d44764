export * from './attempt-at-most-once.js';
export * from './attempt-ticket.js';
export * from './ledger.js';
export type * from './ledger-decision.js';
