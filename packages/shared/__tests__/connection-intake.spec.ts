import {expect} from 'chai';
import {
	ConnectionIntake,
	type ConnectionReading,
	type IntakeLimits,
} from '../src/connection-intake.js';

const limits: IntakeLimits = {
	headBytes: 16_000,
	bodyBytes: 1_000_000,
	headTime: 3000,
	idleTime: 15_000,
};
const step = 100;

describe('the intake of a connection', () => {
	let intake: ConnectionIntake;
	let reading: ConnectionReading;

	beforeEach(() => {
		intake = new ConnectionIntake();
		reading = {
			bytesRead: 0,
			bytesWritten: 0,
			bytesWaiting: 0,
			isInBody: false,
			isHeldBack: false,
		};
	});

	/** Checks until there is a fault; `change` is applied before each check. */
	const checkFor = (time: number, change: () => void = () => undefined) => {
		for (let passed = 0; passed < time; passed += step) {
			change();
			const fault = intake.check(reading, step, limits);
			if (fault) {
				return fault;
			}
		}

		return undefined;
	};

	const receive = (bytes: number) => {
		reading.bytesRead += bytes;
	};

	describe('of heads', () => {
		it('lets one arrive within its time', () => {
			receive(500);
			expect(checkFor(2900)).to.equal(undefined);
		});

		// Guards against heads that are never ended.
		it('ends one that is too slow, although bytes arrive', () => {
			expect(
				checkFor(4000, () => {
					receive(10);
				}),
			).to.equal('headTooSlow');
		});

		// Guards against empty lines without end, which the parser skips.
		it('ends one that is too long', () => {
			receive(500_000);
			expect(checkFor(step)).to.equal('headTooLong');
		});

		it('begins with what follows a request', () => {
			receive(500);
			intake.receive();
			expect(checkFor(20_000)).to.equal(undefined);
			receive(2);
			expect(checkFor(4000)).to.equal('headTooSlow');
		});

		it('ends a connection that was never used', () => {
			expect(checkFor(17_900)).to.equal(undefined);
			expect(checkFor(500)).to.equal('unused');
		});

		it('counts the memory of one that is arriving', () => {
			receive(1000);
			expect(intake.headHeld(reading)).to.equal(8000);
			intake.receive();
			expect(intake.headHeld(reading)).to.equal(0);
		});
	});

	describe('of bodies', () => {
		beforeEach(() => {
			receive(500);
			intake.receive();
			reading.isInBody = true;
			checkFor(step);
		});

		it('lets the largest one arrive in chunks of one byte', () => {
			expect(
				checkFor(60_000, () => {
					receive(10_000);
				}),
			).to.equal(undefined);
		});

		// Guards against senders that stop short of the end.
		it('ends one that has stopped', () => {
			expect(checkFor(14_900)).to.equal(undefined);
			expect(checkFor(500)).to.equal('bodyStalled');
		});

		it('waits for one that is not read because it waits for memory', () => {
			reading.isHeldBack = true;
			expect(checkFor(30_000)).to.equal(undefined);
		});

		it('lets one give way to others when its sender pauses', () => {
			checkFor(800);
			expect(intake.givesWay(reading)).to.equal(false);
			checkFor(200);
			expect(intake.givesWay(reading)).to.equal(true);
			reading.isHeldBack = true;
			expect(intake.givesWay(reading)).to.equal(false);
		});

		// Guards against senders that keep memory with a byte now and then.
		it('lets one give way to others when its sender is slow', () => {
			checkFor(4000, () => {
				receive(1);
			});
			expect(intake.givesWay(reading)).to.equal(true);
			receive(100_000);
			expect(intake.givesWay(reading)).to.equal(false);
		});

		// Guards against bodies without end behind a refusal.
		it('ends one that is too long', () => {
			receive(9_000_000);
			expect(checkFor(step)).to.equal('bodyTooLong');
		});

		it('ends one that trickles', () => {
			expect(
				checkFor(130_000, () => {
					receive(1);
				}),
			).to.equal('bodyStalled');
		});
	});

	describe('of answers', () => {
		it('waits for a slow reader', () => {
			reading.bytesWritten = 1_000_000;
			reading.bytesWaiting = 500_000;
			intake.receive();
			expect(
				checkFor(60_000, () => {
					reading.bytesWaiting -= 100;
				}),
			).to.equal(undefined);
		});

		// Guards against answers that nobody reads.
		it('ends a connection whose caller reads nothing', () => {
			reading.bytesWritten = 1_000_000;
			reading.bytesWaiting = 500_000;
			intake.receive();
			expect(checkFor(20_000)).to.equal(undefined);
			expect(checkFor(10_000)).to.equal('answerUnread');
		});
	});
});
