import type {Control} from '@egretspoke/control';
import {expect} from 'chai';
import {createAnnouncementHandler} from '../src/announcement-handler.js';
import {parseNodeSettings} from '../src/index.js';
import type {NodeCore} from '../src/node-core.js';

const settings = parseNodeSettings(
	[
		'node: vm-1',
		'dataCentre: a',
		'platform: {address: "http://127.0.0.1:1"}',
		'target: {address: "127.0.0.1:9"}',
	].join('\n'),
	'node.yaml',
)._unsafeUnwrap();

describe('the announcements of a target', () => {
	// Guards against a target that gets no requests, because its repeated announcement is ignored after a failure.
	it('are applied when one is repeated after a failure', () => {
		const announced: string[] = [];
		let failures = 1;
		const core: Pick<NodeCore, 'announce'> = {
			announce() {
				if (failures-- > 0) {
					throw new Error('broken');
				}
			},
		};
		const control: Pick<Control, 'announceTarget'> = {
			announceTarget(target) {
				announced.push(target!.service);
			},
		};
		const handle = createAnnouncementHandler(
			settings,
			core as NodeCore,
			control as Control,
			() => undefined,
		);
		const announcement = {service: 'orders', slots: 1, connections: 1};
		expect(() => {
			handle(announcement);
		}).to.throw('broken');
		handle(announcement);
		handle(announcement);
		expect(announced).to.deep.equal(['orders']);
	});
});
