export * from './egretspoke-policy.js';
export {
	chainPriority,
	createLevelsBelow,
	type LevelsBelow,
} from './levels-below.js';
export * from './policy.js';
