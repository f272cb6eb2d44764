/** The whole path on stand-ins. */
import process from 'node:process';

/** How the demo prints. */
export type DemoOptions = {json: boolean};

/** Runs the demo; 0 when every step succeeded. */
export async function runDemo(_options: DemoOptions): Promise<number> {
	process.stderr.write('the demo is not part of this build yet\n');
	return 1;
}
