export * from './egretspoke-policy.js';
export {
	chainPriority,
	createDownstreamLevels,
	type DownstreamLevels,
} from './downstream-levels.js';
export * from './policy.js';
