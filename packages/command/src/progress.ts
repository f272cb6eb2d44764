/** Displays progress while a command waits. */
import type {Clock, Timer} from '@egretspoke/shared';
import type {Terminal} from './terminal.js';

const updateInterval = 1000;
const eraseLine = '\r\u001B[2K';

/**
 * Awaits the work. On a terminal, displays the label and the elapsed seconds,
 * starting after one second, and erases the line at the end.
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
