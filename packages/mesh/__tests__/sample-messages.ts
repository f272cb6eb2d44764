/** Valid messages between nodes, for specs that change them. */
import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {idleLoad, type ForwardedRequest} from '../src/links/exchange.js';
import {
	encodeFrame,
	type Member,
	type PeerMessage,
	type StateMessage,
} from '../src/links/peer-message.js';

const packr = new Packr({useRecords: false});
/** A member of the fleet. */
export const self: Member = {
	node: 'node-1',
	address: '10.0.0.1:7620',
	dataCentre: 'east',
	service: 'reads',
	startedAt: 100,
};
/** The state of a node whose target serves. */
export const state: StateMessage = {
	kind: 'state',
	isStopping: false,
	isFollowing: true,
	service: 'reads',
	routes: ['read'],
	load: {...idleLoad, rate: {limit: 10, occupancy: 0.5}},
	target: {
		service: 'reads',
		targetId: 'target-1',
		startedAt: 1,
		sequence: 1,
		isLeaving: false,
		isReachable: true,
		slots: 10,
	},
};
/** A request without a body. */
export const request: ForwardedRequest = {
	requestId: 'id',
	method: 'GET',
	path: '/x',
	headers: ['Host', 'a'],
	body: undefined,
	route: 'read',
	service: 'reads',
	isIdempotent: true,
	isInner: false,
	isNearCompletion: false,
	repeatShare: 0,
	crashes: 0,
	priority: 0,
	maxWait: 10,
	timeLeft: 100,
};

/** One message of each kind, as tables and lists. */
export function createMessages(member: Member): unknown[] {
	const messages: PeerMessage[] = [
		{kind: 'hello', member, configurationVersion: 0},
		{kind: 'members', members: [member, {...member, node: 'node-8'}]},
		state,
		{
			kind: 'profiles',
			service: 'reads',
			profiles: [
				{
					route: 'read',
					runTime: 4,
					calls: [{route: 'inner', count: 2}],
					isLeaf: false,
				},
			],
		},
		{
			kind: 'quotaUse',
			node: 'node-9',
			wantsGrant: true,
			uses: [['shop', 1, 1, 0]],
		},
		{kind: 'quotaGrant', grants: [['shop', 1, 1]]},
		{
			kind: 'fairDemand',
			node: 'node-9',
			loads: [['reads', 1, 0.5, 1, 1, [['shop', 1]]]],
		},
		{kind: 'fairTotals', loads: [['reads', 1, 0.5, 1, 1, [['shop', 1]]]]},
		{kind: 'suspects', suspects: [['suspect', 1, 2]]},
		{
			kind: 'targetMemory',
			targetId: 'target-1',
			startedAt: 1,
			rateLimit: 5,
			isLeaving: false,
		},
		{kind: 'closing', running: [1, 2]},
		{
			kind: 'configuration',
			configuration: {
				version: 1,
				routes: [
					{
						name: 'read',
						host: 'shop.example',
						prefix: '/read/',
						isIdempotent: true,
						timeout: 1000,
						objective: 500,
						priority: 1,
						attempts: 2,
						services: [{service: 'reads', weight: 1}],
						isPublic: true,
					},
				],
				limits: {
					headerBytes: 1000,
					bodyBytes: 1000,
					headerTime: 1000,
					idleTime: 1000,
				},
				workspaces: [
					{
						name: 'shop',
						keyDigests: ['digest'],
						priority: 0,
						rate: 10,
						burst: 5,
					},
				],
			},
		},
		{kind: 'version', version: 1},
		{kind: 'configurationWanted'},
		{kind: 'ping'},
		{kind: 'pong'},
		{kind: 'load', load: state.load},
		{kind: 'request', exchange: 1, request},
		{
			kind: 'largeRequest',
			exchange: 2,
			request: {...request, method: 'POST'},
			bodySize: 1000,
		},
		{kind: 'part', exchange: 2, bytes: Buffer.alloc(100), rest: 'more'},
		{kind: 'credit', exchange: 1, bytes: 100},
		{
			kind: 'outcome',
			exchange: 1,
			outcome: {
				kind: 'answered',
				status: 200,
				headers: ['A', 'b'],
				body: Buffer.from('body'),
			},
			load: state.load,
		},
		{
			kind: 'outcome',
			exchange: 1,
			outcome: {
				kind: 'answered',
				status: 200,
				headers: [],
				body: Buffer.alloc(0),
			},
			load: undefined,
			streamSize: 100,
		},
		{
			kind: 'outcome',
			exchange: 1,
			outcome: {kind: 'refused', reason: 'noRoom'},
			load: undefined,
		},
		{
			kind: 'outcome',
			exchange: 1,
			outcome: {kind: 'lost', reason: 'answerCut'},
			load: undefined,
		},
		{
			kind: 'outcome',
			exchange: 1,
			outcome: {kind: 'declined', status: 503},
			load: undefined,
		},
		{kind: 'cancel', exchange: 1},
	];
	const [, encoded] = packr.unpack(
		encodeFrame({sentAt: 1, messages}),
	) as unknown[];
	return encoded as unknown[];
}
