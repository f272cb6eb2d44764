/** Forwards changes of membership and configuration to the core and to the reporter. */
import type {Control} from '@egretspoke/control';
import type {Member} from '@egretspoke/protocol';
import type {NodeCore} from './node-core.js';
import type {NodeReporter} from './node-reporter.js';

/** Updates the router and the ingress when membership changes, and records the events of control. */
export function subscribeToControl(
	control: Control,
	core: NodeCore,
	reporter: NodeReporter,
): void {
	const {node} = control.membership.self();
	void control.membership.changes.observe(({member, before}) => {
		if (!before || isRoutingChange(member, before)) {
			core.membersChanged();
		}

		if (member.state === before?.state) {
			return;
		}

		reporter.recordEvent({
			name: 'memberChanged',
			node: member.node,
			state: member.state,
		});
		if (member.node === node && member.state === 'leaving') {
			core.leave();
		}

		if (
			member.node === node &&
			member.state === 'active' &&
			before?.state === 'leaving'
		) {
			core.rejoin();
		}
	});
	void control.membership.pauses.observe((pause) => {
		reporter.recordEvent({name: 'suspended', pause});
	});
	void control.configuration.platformChanges.observe(({state, detail = ''}) => {
		reporter.recordEvent(
			state === 'reachable'
				? {name: 'platformReachable'}
				: {name: 'platformUnreachable', detail},
		);
	});
	void control.configuration.rejected.observe(({version, reason}) => {
		reporter.recordEvent({
			name: 'configurationRefused',
			version,
			detail: reason,
		});
	});
	void control.configuration.accepted.observe(({version}) => {
		const {source = '', delay} = control.configuration.versions();
		reporter.recordEvent({name: 'configurationTaken', version, source, delay});
	});
}

/** A change of the heartbeat or of the version alone does not affect the router. */
function isRoutingChange(member: Member, before: Member): boolean {
	return (
		member.state !== before.state ||
		member.incarnation !== before.incarnation ||
		member.peerAddress !== before.peerAddress ||
		member.target?.service !== before.target?.service ||
		member.target?.slots !== before.target?.slots ||
		member.target?.connections !== before.target?.connections
	);
}
