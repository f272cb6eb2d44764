/** Utilities shared with other measurements of this repository. */
export {runOpenLoop, type LoadResult} from './open-loop.js';
export {readUsage} from './process-usage.js';
