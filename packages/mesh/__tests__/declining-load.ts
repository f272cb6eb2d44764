/** The load that the specs of a troubled deep service share, and how they rate its outcomes. */
import type {FleetKind, FleetWindow} from './declining-fleet.js';

/** Requests that need none, one, four or eight calls of the deep service. */
export const kinds: FleetKind[] = [
	{
		route: 'commit',
		first: 'middle',
		priority: 0,
		perSecond: 40,
		calls: 8,
		worth: 3,
	},
	{
		route: 'page',
		first: 'middle',
		priority: 2,
		perSecond: 100,
		calls: 4,
		worth: 1,
	},
	{
		route: 'single',
		first: 'middle',
		priority: 2,
		perSecond: 60,
		calls: 1,
		worth: 1,
	},
	{
		route: 'direct',
		first: 'deep',
		priority: 1,
		perSecond: 40,
		calls: 0,
		worth: 2,
	},
	{
		route: 'plain',
		first: 'middle',
		priority: 2,
		perSecond: 100,
		calls: 0,
		worth: 1,
	},
];
/** Runs at the deep service while everything is served. */
export const runsPerSecond = kinds.reduce(
	(sum, {first, perSecond, calls}) =>
		sum + perSecond * (calls + (first === 'deep' ? 1 : 0)),
	0,
);
const worthOf = (
	window: FleetWindow,
	countOf: (counts: {requested: number; whole: number}) => number,
) =>
	kinds.reduce(
		(sum, {route, worth}) =>
			sum + worth * countOf(window.get(route) ?? {requested: 0, whole: 0}),
		0,
	);
/** The served share of the offered worth. */
export const servedWorth = (window: FleetWindow) =>
	worthOf(window, ({whole}) => whole) /
	worthOf(window, ({requested}) => requested);
/** The served share of one kind. */
export const shareOf = (window: FleetWindow, route: string) => {
	const {whole, requested} = window.get(route)!;
	return whole / requested;
};

/** The failed share of the admitted requests. */
export const failedShare = (windows: FleetWindow[]) => {
	const all = windows.flatMap((window) => [...window.values()]);
	const failed = all.reduce((sum, counts) => sum + counts.failed, 0);
	return failed / all.reduce((sum, {whole}) => sum + whole, failed);
};
