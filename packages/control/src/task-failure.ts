/** Failures of tasks in the background that nothing awaits. */

/** Receives such a failure, with the task's name. */
export type OnTaskFailure = (task: string, error: unknown) => void;

/** Leaves a failure to the handler of the process. */
export function rethrow(_task: string, error: unknown): never {
	throw error as Error;
}
