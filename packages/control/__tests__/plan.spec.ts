import {expect} from 'chai';
import {
	applyIntents,
	defaultConfiguration,
	preparePlan,
	readConfiguration,
	readIntents,
	writeConfiguration,
	type Configuration,
	type KnownTarget,
} from '../src/index.js';

const read = (text: string) =>
	readIntents({text, file: 'intent.yaml'})._unsafeUnwrap();

const plan = (
	text: string,
	base: Configuration = defaultConfiguration,
	targets: KnownTarget[] = [],
) =>
	preparePlan({
		id: 'p1',
		author: 'esi',
		createdAt: new Date(0),
		intents: read(text),
		base,
		targets,
	});

const base = readConfiguration(
	writeConfiguration(
		7,
		applyIntents(
			[],
			read(`
service: orders
requests:
  - {match: {method: POST, path: /payments}, class: essential, idempotent: false}
calls: [queues]
`),
		),
	),
)._unsafeUnwrap();

describe('plan', () => {
	it('contains its base and every difference with its effect', () => {
		const {plan: made, body} = plan(
			`
service: orders
deadline: 2s
requests:
  - {match: {method: POST, path: /payments}, class: essential, idempotent: false}
  - {match: {path: /history}, class: deferrable}
targets: [{node: vm-1, intent: leave}]
`,
			base,
		);
		expect(made.baseVersion).to.equal(7);
		expect(body.version).to.equal(8);
		expect(
			made.changes.map(
				({path, before, after}) => `${path}: ${before} → ${after}`,
			),
		).to.deep.equal([
			'deadline: 4s → 2s',
			'calls[queues]: allowed → undefined',
			'requests[/history].class: undefined → deferrable',
			'requests[/history].idempotent: undefined → by method',
			'targets[vm-1]: undefined → leave',
		]);
		expect(made.changes[0]?.effect).to.equal(
			'requests that state no deadline are given up after 2s',
		);
		expect(made.changes[4]?.effect).to.equal(
			'vm-1 takes no new work and finishes what it has',
		);
	});

	it('has no changes when the intent is in force already', () => {
		const {plan: made} = plan(
			`
service: orders
calls: [queues]
requests:
  - {class: essential, idempotent: false, match: {path: /payments, method: POST}}
`,
			base,
		);
		expect(made.changes).to.deep.equal([]);
	});

	it('warns about the last target that leaves and about weaker protection', () => {
		// An operator removes the last target of a service, or a mistake makes payments
		// idempotent, so that they may run twice. Both are allowed, but must be visible
		// before the confirmation.
		const {plan: made} = plan(
			`
service: orders
requests:
  - {match: {method: POST, path: /payments}, class: normal, idempotent: true}
calls: [queues]
targets: [{node: vm-1, intent: leave}, {node: vm-9, intent: join}]
`,
			base,
			[{node: 'vm-1', service: 'orders'}],
		);
		expect(made.warnings).to.deep.equal([
			'the last target of orders leaves: its requests will be refused',
			'vm-9 has not announced itself',
			'orders: POST /payments will be refused earlier than before',
			'orders: POST /payments may run twice from now on',
			'orders calls queues, which has no intent: the built-in defaults apply to it',
		]);
	});

	it('warns about cyclic calls', () => {
		const {plan: made} = plan(
			'[{service: a, calls: [b]}, {service: b, calls: [a]}]',
		);
		expect(made.warnings).to.deep.equal([
			'a is called again by services that it calls',
			'b is called again by services that it calls',
		]);
	});
});
