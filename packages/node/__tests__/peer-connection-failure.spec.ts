import {setTimeout as pause} from 'node:timers/promises';
import {createSupervisor, createSystemClock} from '@egretspoke/shared';
import {expect} from 'chai';
import type {MessageChannel} from '../src/message-channel.js';
import {silentReporter} from '../src/node-reporter.js';
import {createPeerConnection} from '../src/peer-connection.js';
import {createWebSocketTransport} from '../src/web-socket-transport.js';

const clock = createSystemClock({keepAlive: true});
const createTransport = (node: string) =>
	createWebSocketTransport({
		clock,
		self: () => ({node, incarnation: 1, dataCentre: 'a'}),
		secret: 'peer-secret-0123456789',
		messageLimit: 16 * 1024 * 1024,
		handshakeLimit: 8,
		onMalformed: () => undefined,
		onRefused: () => undefined,
	});

describe('a connection to a peer whose handler throws', () => {
	// Guards against a connection that stays open while nothing reads it: its peer's calls wait until their deadlines.
	it('is closed', async () => {
		const [first, second] = [createTransport('vm-1'), createTransport('vm-2')];
		const supervisor = createSupervisor(clock, () => undefined);
		first.accept((channel: MessageChannel) => {
			const connection = createPeerConnection(channel, {
				reporter: silentReporter,
				async call() {
					throw new Error('not called');
				},
				probe() {
					throw new Error('one message');
				},
				configurationBody: () => undefined,
				receiveSuspects: () => undefined,
				initialMessage: () => undefined,
			});
			supervisor.start('peer', async () => connection.serve());
		});
		const port = await first.listen('127.0.0.1', 0);
		const channel = await second.connect(
			`127.0.0.1:${port}`,
			supervisor.signal,
		);
		channel!.send({
			type: 'probe',
			sequence: 1,
			members: [],
			configurationVersion: 0,
		});
		const readUntilEnd = async () => {
			const messages = channel!.receive()[Symbol.asyncIterator]();
			const {done} = await messages.next();
			return done ? 'closed' : 'answered';
		};

		const end = await Promise.race([readUntilEnd(), pause(3000, 'open')]);
		await supervisor.stop();
		await Promise.all([first.close(), second.close()]);
		expect(end).to.equal('closed');
	});
});
