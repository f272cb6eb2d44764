import {createRandom, createVirtualClock} from '@egretspoke/shared';
import {expect} from 'chai';
import {createMemberRegister} from '../src/members/member-register.js';
import type {Member} from '../src/links/peer-message.js';
import {createRowStoreStandIn} from './row-store-stand-in.js';

const self: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 100,
};
const live: Member = {...self, node: 'node-2', address: '10.0.0.2:7620'};
const hour = 3_600_000;

/** Lets a register read a table with these rows, by key, before the row of `live`. */
async function readRows(odd: Record<string, string>) {
	const clock = createVirtualClock();
	const store = createRowStoreStandIn();
	const rows = {...odd, [live.node]: JSON.stringify({member: live})};
	for (const [key, value] of Object.entries(rows)) {
		// eslint-disable-next-line no-await-in-loop -- the rows are listed in this order.
		await store.write({table: 'members', key, value}, 0);
	}

	const read: {nodes: string[]; skipped: unknown[]} = {nodes: [], skipped: []};
	const lifetime = new AbortController();
	const register = createMemberRegister({
		store,
		self,
		clock,
		random: createRandom(1),
		reporter: {
			notice(name, details) {
				if (name === 'meshRowMalformed') {
					read.skipped.push(details?.key);
				}
			},
			decision: () => undefined,
		},
		onMembers(members) {
			read.nodes = members.map(({node}) => node);
		},
		onEarlierLeaving: () => undefined,
	});
	const running = register.run(lifetime.signal);
	await clock.runTo(1000);
	lifetime.abort();
	await clock.runTo(200_000);
	await running;
	return read;
}

/** A row that is malformed in one field of its member. */
function withField(field: Partial<Record<keyof Member, unknown>>): string {
	return JSON.stringify({member: {...live, node: 'odd', ...field}});
}

describe('odd rows in the table of members', () => {
	const odd: Record<string, string> = {
		// Its address threw in `new WebSocket`, and the node never read the table again.
		'a port above 65535': withField({address: '10.0.0.9:99999'}),
		'a port of 0': withField({address: '10.0.0.9:0'}),
		'a name as host': withField({address: 'host.example:7620'}),
		'an address without a port': withField({address: '10.0.0.9'}),
		'a start of 1e300': withField({startedAt: 1e300}),
		'a start beyond what clocks may differ': withField({
			startedAt: Date.UTC(2026, 0, 1) + 2 * hour,
		}),
		'a negative start': withField({startedAt: -1}),
		'a name of 100,000 characters': withField({node: 'x'.repeat(100_000)}),
		'a service that is no text': withField({service: {}}),
		'a list that is nested 200,000 deep':
			'['.repeat(200_000) + ']'.repeat(200_000),
		'a number beyond the range': '{"member":{"startedAt":1e999}}',
		'no JSON': '{',
		null: 'null',
	};
	for (const [title, value] of Object.entries(odd)) {
		it(`skips ${title} with a line, and takes the others`, async () => {
			const {nodes, skipped} = await readRows({odd: value});
			expect(nodes).to.have.members(['node-1', 'node-2']);
			expect(skipped).to.deep.equal(['odd']);
		});
	}

	// The live node was displaced: nothing compared the key of a row with the name in it.
	it('skips a row that has the name of another node', async () => {
		const forged = {...live, address: '10.0.0.9:7620', startedAt: 200};
		const {nodes, skipped} = await readRows({
			odd: JSON.stringify({member: forged}),
		});
		expect(nodes).to.have.members(['node-1', 'node-2']);
		expect(skipped).to.deep.equal(['odd']);
	});
});
