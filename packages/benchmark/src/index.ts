/** What other measurements of this repository share. */
export {runOpenLoop, type LoadResult} from './open-loop.js';
export {readUsage} from './process-usage.js';
