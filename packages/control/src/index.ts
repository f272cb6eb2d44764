/**
 * Control: what operators intend, which configuration is in force, and who is
 * there.
 *
 * How a node wires it:
 *
 * 1. `createControl({self, platform, clock, random, send, requestBody, peers})`
 *    with `self` as `{state: 'joining', heartbeat: 0, configurationVersion: 0,
 *    incarnation: clock.date().getTime(), …}`. `send` writes the probe to the
 *    peer's channel (opened when need be) and resolves with the acknowledgement
 *    of its sequence number, or undefined; `requestBody` the same for
 *    `configurationRequest` and its body.
 * 2. What comes in from any peer: `probe` → reply `control.receiveProbe(probe)`;
 *    `configurationRequest` → reply `{type: 'configurationBody',
 *    ...control.configuration.body()}` when there is one.
 * 3. `await control.start(signal)`: the node is `active` afterwards, platform
 *    or not. `control.announceTarget(…)` when the target says what it is.
 * 4. For each request: `control.membership.isSuspended()` → refuse with
 *    `NodeSuspended`; `classify(control.configuration.current(), service,
 *    method, path)` at the first entry.
 * 5. `control.membership.changes` feeds the router; `self().incarnation` is the
 *    one that homes carry, and it changes after a pause.
 * 6. Admin listener: `control.plan`, `confirm`, `status`, `targets`, `leave`.
 * 7. Stop: `control.leave()`, drain, `await control.end()`, abort the signal.
 */
export * from './classification.js';
export * from './configuration-acceptance.js';
export * from './configuration-store.js';
export * from './configuration-watch.js';
export * from './configuration.js';
export * from './confirm.js';
export * from './control.js';
export * from './intent.js';
export * from './membership-service.js';
export * from './membership-timing.js';
export * from './membership.js';
export * from './operator-service.js';
export * from './plan.js';
export * from './plan-warnings.js';
export type * from './probe-exchange.js';
export * from './seed-rows.js';
export * from './suspect-rows.js';
