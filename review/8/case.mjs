/**
 * A node acknowledges that its backend has left while the store is down, and
 * keeps that in memory only. All processes are killed before the store is back.
 * The next start believes a check-in that the backend sent before it left, and
 * routes requests to it again.
 */
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ask, runCase} from '../lib-2/fleet.mjs';

const folder = path.dirname(fileURLToPath(import.meta.url));
/** Bounds of the deployment in milliseconds. */
const drain = 2000;
const stabilityWindow = 3000;

await runCase(folder, async ({fleet, record, isTroubled}) => {
	const {store} = fleet;
	fleet.configure([
		{
			name: 'book',
			prefix: '/book/',
			kind: 'unsafe',
			service: 'orders-svc',
		},
		{name: 'view', prefix: '/view/', kind: 'safe', service: 'history-svc'},
	]);
	const beside = fleet.createNode('orders-svc');
	const entry = fleet.createNode('history-svc');
	await Promise.all([beside.start(), entry.start()]);
	const leaving = await fleet.createBackend(beside);
	const other = await fleet.createBackend(entry);
	await Promise.all([leaving.announce(), other.announce()]);
	await pause(stabilityWindow + 500);
	const before = await ask(entry, record, {method: 'POST', path: '/book/1'});
	if (before.status !== 200) {
		return undefined;
	}

	if (isTroubled) {
		record.add('the store is down');
		store.faults.refuse = 'reset';
	}

	// A check-in is on its way; it arrives late.
	const late = leaving.prepareCheckIn();
	record.add(`${leaving.instance} sent a check-in as ready, which is delayed`);
	if ((await leaving.leave()) !== 200) {
		record.add('the leaving was not acknowledged');
		return false;
	}

	const acknowledgedAt = performance.now();
	if (isTroubled) {
		await pause(100);
		for (const node of fleet.nodes) {
			node.signal('SIGKILL');
		}

		await Promise.all(fleet.nodes.map(async (node) => node.ended()));
		await pause(300);
		for (const node of fleet.nodes) {
			node.launch();
		}

		await pause(700);
		record.add('the store is back');
		delete store.faults.refuse;
	} else {
		await pause(1100);
	}

	await Promise.all(fleet.nodes.map(async (node) => node.waitUntilReady()));
	record.add(`the delayed check-in arrives: ${await late()}`);
	// The store has been back, and the processes have run, for longer than this.
	await pause(stabilityWindow + 500);
	for (let index = 0; index < 10; index++) {
		// eslint-disable-next-line no-await-in-loop -- one after the other.
		await ask(entry, record, {method: 'POST', path: `/book/late-${index}`});
	}

	const reached = leaving.runs.filter(
		({startedAt}) => startedAt > acknowledgedAt + drain,
	);
	for (const {id, startedAt} of reached) {
		const after = Math.round(startedAt - acknowledgedAt);
		record.add(`${id} reached the backend ${after} ms after the leaving`);
	}

	return reached.length > 0;
});
