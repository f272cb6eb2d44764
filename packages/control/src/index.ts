/**
 * Control: the operators' intents, the configuration in force, and membership.
 *
 * How a node uses it:
 *
 * 1. `createControl({self, platform, clock, random, send, fetchConfiguration,
 *    peers})` with `self` as `{state: 'joining', heartbeat: 0,
 *    configurationVersion: 0, incarnation: clock.date().getTime(), …}`. `send`
 *    writes the probe to the peer's channel, which it opens if needed, and
 *    resolves with the acknowledgement of the same sequence number, or undefined;
 *    `fetchConfiguration` does the same for `configurationRequest` and its body.
 * 2. Messages received from a peer: `probe` → reply `control.receiveProbe(probe)`;
 *    `configurationRequest` → reply `{type: 'configurationBody',
 *    ...control.configuration.body()}` when there is one.
 * 3. `await control.start(supervisor)`: the node is `active` afterwards, whether the
 *    platform is reachable or not. `control.announceTarget(…)` when the target
 *    announces itself.
 * 4. For each request: `control.membership.isSuspended()` → refuse with
 *    `NodeSuspended`; `classify(control.configuration.current(), service,
 *    method, path)` at the first entry node.
 * 5. `control.membership.changes` updates the router; `self().incarnation` is the
 *    one that homes of idempotency keys carry, and it changes after a pause.
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
export type * from './task-failure.js';
