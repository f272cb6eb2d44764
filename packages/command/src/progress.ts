/** Tells somebody who waits that something is going on. */
import type {Clock, Timer} from '@egretspoke/shared';
import type {Terminal} from './terminal.js';

const updateInterval = 1000;
const eraseLine = '\r\u001B[2K';

/**
 * Waits for the work, and shows from the first full second on what is going
 * on and for how long, on a terminal only; the line is erased at the end.
 */
export async function withProgress<T>(
	host: {terminal: Terminal; clock: Clock},
	label: string,
	work: Promise<T>,
): Promise<T> {
	const {terminal, clock} = host;
	if (!terminal.canShowProgress) {
		return work;
	}

	let seconds = 0;
	let timer: Timer;
	const tick = () => {
		seconds++;
		terminal.writeError(`${eraseLine}${label} … ${seconds} s`);
		timer = clock.setTimer(updateInterval, tick);
	};

	timer = clock.setTimer(updateInterval, tick);
	try {
		return await work;
	} finally {
		timer.cancel();
		if (seconds > 0) {
			terminal.writeError(eraseLine);
		}
	}
}
