/** Logs when this entry node begins to refuse requests because a service declines calls, has lost targets or is full of work that waits for others, and when that ends. */
import type {Clock} from '@egretspoke/shared';
import type {MeshReporter} from '../mesh-reporter.js';

/** The kinds of trouble, each with its event. */
const events = {
	declines: 'meshServiceDeclines',
	lostTargets: 'meshServiceLostTargets',
	waits: 'meshServiceWaits',
} as const;

/** The kind of trouble of a service. */
export type TroubleKind = keyof typeof events;

/** Milliseconds without the trouble after which it is over; avoids a line for each short gap. */
const endDelay = 1000;

type Trouble = {
	kind: TroubleKind;
	service: string;
	since: number;
	lastSeenAt: number;
	maxLevel: number;
};

/** The troubles that this node acts on. */
export type ServiceTrouble = {
	/** Records the current levels of all services with that trouble. */
	record(kind: TroubleKind, levels: ReadonlyMap<string, number>): void;
	/** The maximum current level of that trouble over all services. */
	level(kind: TroubleKind): number;
};

/** Creates the record without troubles. */
export function createServiceTrouble({
	clock,
	reporter,
}: {
	clock: Clock;
	reporter: Pick<MeshReporter, 'notice'>;
}): ServiceTrouble {
	const troubles = new Map<string, Trouble>();
	const levelOf: Record<TroubleKind, number> = {
		declines: 0,
		lostTargets: 0,
		waits: 0,
	};

	const log = ({kind, service, maxLevel}: Trouble, duration: number) => {
		reporter.notice(events[kind], {
			service,
			change: duration === 0 ? 'began' : 'ended',
			level: Math.round(maxLevel * 100) / 100,
			duration: Math.round(duration),
		});
	};

	const recordService = (kind: TroubleKind, service: string, level: number) => {
		const now = clock.now();
		const key = `${kind} ${service}`;
		const known = troubles.get(key);
		if (known) {
			known.lastSeenAt = now;
			known.maxLevel = Math.max(known.maxLevel, level);
			return;
		}

		const trouble = {
			kind,
			service,
			since: now,
			lastSeenAt: now,
			maxLevel: level,
		};
		troubles.set(key, trouble);
		log(trouble, 0);
	};

	const endOld = () => {
		for (const [key, trouble] of troubles) {
			if (clock.now() - trouble.lastSeenAt >= endDelay) {
				troubles.delete(key);
				log(trouble, Math.max(1, trouble.lastSeenAt - trouble.since));
			}
		}
	};

	return {
		record(kind, levels) {
			levelOf[kind] = 0;
			for (const [service, level] of levels) {
				if (level > 0) {
					levelOf[kind] = Math.max(levelOf[kind], level);
					recordService(kind, service, level);
				}
			}

			if (troubles.size > 0) {
				endOld();
			}
		},
		level: (kind) => levelOf[kind],
	};
}
