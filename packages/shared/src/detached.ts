/** Work that nothing awaits, such as a round of gossip after a change. */

/**
 * Hands a failure of the work to its owner. Without one, the rejection would
 * end the process, or leave it with whatever the work had not finished.
 */
export async function runDetached(
	work: Promise<unknown>,
	onFailure: (error: unknown) => void,
): Promise<void> {
	try {
		await work;
	} catch (error) {
		onFailure(error);
	}
}
