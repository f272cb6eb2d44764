import {expect} from 'chai';
import fastCheck from 'fast-check';
import type {Member} from '@egretspoke/protocol';
import {
	createMembershipState,
	expireMembers,
	mergeMember,
	mergeRules,
	suspectMember,
	type MergeRule,
} from '../src/index.js';
import {announceChange, reincarnate, refute} from '../src/own-record.js';
import {createMember} from './control-network.js';

const limits = {suspicionTimeout: 3000, goneRetention: 60_000};

const createState = (other: Partial<Member> = {}) => {
	const state = createMembershipState(createMember('self'), 0);
	mergeMember(state, createMember('b', {state: 'active', ...other}), 0);
	return state;
};

describe('membership', () => {
	it('marks a member without contact suspect, then gone', () => {
		const state = createState();
		suspectMember(state, 'b', 1000);
		expect(expireMembers(state, 3999, limits)).to.deep.equal([]);
		const [change] = expireMembers(state, 4000, limits);
		expect(change?.member.state).to.equal('gone');
		expireMembers(state, 64_000, limits);
		expect(state.entries.has('b')).to.equal(false);
	});

	it('lets a member refute suspect and gone with a newer record', () => {
		// One link is broken, or a node was slow for a moment. The member receives the
		// claim from another node and must be able to stay, in the same incarnation,
		// because it still has its idempotency keys.
		const own = createMember('b', {state: 'active', heartbeat: 4});
		const state = createState({heartbeat: 4});
		for (const claimedState of ['suspect', 'gone'] as const) {
			const {heartbeat} = state.entries.get('b')!.member;
			mergeMember(state, {...own, heartbeat, state: claimedState}, 10);
			const claim = state.entries.get('b')!.member;
			const answer = refute({...own, heartbeat}, claim)!;
			expect(answer.incarnation).to.equal(own.incarnation);
			mergeMember(state, answer, 20);
			expect(state.entries.get('b')?.member.state).to.equal('active');
		}
	});

	it('does not let suspicion hide that a member is leaving', () => {
		// A target is leaving and its node responds slowly to a probe. If it became
		// suspect and then active again, it would receive new requests.
		const state = createState({state: 'leaving', heartbeat: 2});
		mergeMember(state, createMember('b', {state: 'suspect', heartbeat: 2}), 5);
		expect(state.entries.get('b')?.member.state).to.equal('leaving');
		suspectMember(state, 'b', 10);
		expect(state.entries.get('b')?.member.state).to.equal('gone');
	});

	it('overrides a record of an earlier process and ignores old ones', () => {
		const own = createMember('self', {incarnation: 50, heartbeat: 3});
		expect(refute(own, {...own, heartbeat: 2, state: 'gone'})).to.equal(
			undefined,
		);
		expect(refute(own, {...own, incarnation: 9})).to.equal(undefined);
		expect(refute(own, {...own, incarnation: 80})?.incarnation).to.equal(81);
		expect(reincarnate(own, new Date(20)).incarnation).to.equal(51);
		expect(reincarnate(own, new Date(700)).incarnation).to.equal(700);
		const target = {service: 'a', slots: 1, connections: 1};
		const announced = announceChange(own, {target});
		expect(announced).to.include({heartbeat: 4});
		expect('target' in announceChange(announced, {target: undefined})).to.equal(
			false,
		);
	});

	describe('a gone member, with any records in any order afterwards', () => {
		const stale = fastCheck.record({
			incarnation: fastCheck.integer({min: 0, max: 5}),
			heartbeat: fastCheck.integer({min: 0, max: 9}),
			state: fastCheck.constantFrom(
				'joining' as const,
				'active' as const,
				'suspect' as const,
			),
		});

		const staysGone = (
			records: Array<Partial<Member>>,
			isNewer: MergeRule,
		): boolean => {
			const state = createState({incarnation: 5, heartbeat: 9});
			mergeMember(
				state,
				createMember('b', {incarnation: 5, heartbeat: 10, state: 'gone'}),
				1,
			);
			for (const record of records) {
				mergeMember(state, createMember('b', record), 2, isNewer);
			}

			return state.entries.get('b')?.member.state === 'gone';
		};

		it('stays gone with older records', () => {
			// A data centre that was partitioned still has the member's record from
			// before its end and gossips it. If that reactivated the member, requests
			// would go to a target that has left.
			fastCheck.assert(
				fastCheck.property(fastCheck.array(stale), (records) =>
					staysGone(records, mergeRules.newerRecord),
				),
				{seed: 7, numRuns: 500},
			);
		});

		it('does not stay gone with the naive rule that accepts the last received', () => {
			const result = fastCheck.check(
				fastCheck.property(fastCheck.array(stale), (records) =>
					staysGone(records, mergeRules.lastReceived),
				),
				{seed: 7, numRuns: 500},
			);
			expect(result.failed).to.equal(true);
		});

		it('is replaced by a new incarnation', () => {
			expect(
				staysGone([{incarnation: 6, state: 'active'}], mergeRules.newerRecord),
			).to.equal(false);
		});
	});
});
