import {expect} from 'chai';
import {
	createMeshMetrics,
	createMetrics,
	metricDefinitions,
	type MeshReadings,
	type NodeReadings,
} from '../src/index.js';

const versions: MeshReadings['versions'] = {
	source: 'node-2',
	age: 1500,
	delay: 20,
	newestReported: 9,
	silence: {store: 250, 'node-2': 1500},
};

const readings: NodeReadings = {
	versions,
	configurationVersion: 7,
	isPlatformReachable: true,
	isLeaving: false,
	openRequests: 3,
	peersConnected: 2,
	members: {active: 3},
	ledgerKeys: 1,
	ledgerBytes: 10,
	logLinesDropped: 4,
	target: {service: 'orders', inFlight: 5, waiting: 6, limit: 100, level: 383},
};

const meshReadings: MeshReadings = {
	versions,
	configurationVersion: 7,
	isLeaving: false,
	openRequests: 3,
	members: 3,
	peersConnected: 2,
	inFlight: 5,
	waiting: 6,
	limit: 100,
	workspacesAboveShare: 0,
	heldBytes: {smallBodies: 0},
	shedLevel: 0.5,
	rateLimit: undefined,
	declined: 0.25,
	completionLevel: 0,
	lostCapacityLevel: 0,
	heldLevel: 0,
	service: 'orders',
};

describe('metrics', () => {
	it('renders recorded values and readings', async () => {
		const metrics = createMetrics(() => readings);
		metrics.requestEnded({
			role: 'entry',
			service: 'orders',
			requestClass: 'essential',
			outcome: 'notRun',
			error: 'Overloaded',
			duration: 12,
		});
		metrics.waited('orders', 3);
		metrics.retried('orders');
		metrics.retryRefused('orders');
		metrics.malformedInput('caller', 'tooLarge');
		metrics.lateAnswer();
		metrics.childRestarted('peers');
		metrics.suspended();
		const text = await metrics.render();
		const lines = text.split('\n');
		for (const line of [
			'egretspoke_requests_total{role="entry",service="orders",class="essential",outcome="not_run",error="Overloaded"} 1',
			'egretspoke_request_duration_seconds_bucket{le="0.025",role="entry",service="orders"} 1',
			'egretspoke_queue_time_seconds_sum{service="orders"} 0.003',
			'egretspoke_retries_total{service="orders"} 1',
			'egretspoke_malformed_input_total{listener="caller",kind="tooLarge"} 1',
			'egretspoke_configuration_version 7',
			'egretspoke_configuration_reported_version 9',
			'egretspoke_configuration_age_seconds{source="node-2"} 1.5',
			'egretspoke_configuration_source_silence_seconds{source="store"} 0.25',
			'egretspoke_members{state="active"} 3',
			'egretspoke_admission_level{service="orders"} 383',
			'egretspoke_log_lines_dropped_total 4',
		]) {
			expect(lines).to.include(line);
		}
	});

	it('renders every metric of the table, named by the rules of Prometheus', async () => {
		const ownInterface = await createMetrics(() => readings).render();
		const mesh = await createMeshMetrics().render(meshReadings, 0);
		for (const {name, type} of Object.values(metricDefinitions)) {
			const text = name.includes('_mesh_') ? mesh : ownInterface;
			expect(text).to.contain(`# TYPE ${name} ${type}\n`);
			expect(name).to.match(/^(?:egretspoke|process)(?:_[a-z]+)+$/u);
			expect(name.endsWith('_total')).to.equal(type === 'counter');
		}
	});

	it('separates two nodes of one process', async () => {
		const first = createMetrics(() => readings);
		const second = createMetrics(() => readings);
		first.lateAnswer();
		expect(await second.render()).to.contain('late_answers_total 0');
	});

	it('limits the number of series that a varying label can create', async () => {
		// Each request of a caller is malformed in a new way. Without a limit each
		// kind creates a series that is never freed, and the memory of the node
		// grows until the process dies.
		const metrics = createMetrics(() => readings);
		for (let index = 0; index < 1000; index++) {
			metrics.malformedInput('caller', `kind-${index}`);
		}

		const text = await metrics.render();
		const series = text.match(/^egretspoke_malformed_input_total\{/gmu);
		expect(series).to.have.length(101);
		expect(text).to.contain('kind="other"} 900');
	});

	it('renders each value of a mesh node once, however many there are', async () => {
		// Values are passed on in batches. A batch that is passed on twice, or not at
		// all, shows as a rate that differs from the one of the callers.
		const metrics = createMeshMetrics();
		const end = (route: string, reason: string) => {
			metrics.requestEnded({
				route,
				outcome: reason === '' ? 'answered' : 'refused',
				reason,
				duration: 20,
			});
			metrics.attemptEnded('answered');
			metrics.targetStarted(3);
		};

		for (let index = 0; index < 1000; index++) {
			end('read', index % 4 === 0 ? 'shed' : '');
		}

		await metrics.render(meshReadings, 0);
		end('read', '');
		const text = await metrics.render(meshReadings, 0);
		const lines = text.split('\n');
		for (const line of [
			'egretspoke_mesh_requests_total{route="read",outcome="answered",reason=""} 751',
			'egretspoke_mesh_requests_total{route="read",outcome="refused",reason="shed"} 250',
			'egretspoke_mesh_request_duration_seconds_count{route="read"} 1001',
			'egretspoke_mesh_request_duration_seconds_bucket{le="0.025",route="read"} 1001',
			'egretspoke_mesh_attempts_total{outcome="answered"} 1001',
			'egretspoke_mesh_queue_time_seconds_count 1001',
		]) {
			expect(lines).to.include(line);
		}
	});

	it('limits the series that the routes of a mesh node can create', async () => {
		// A configuration with thousands of routes would otherwise grow the registry
		// by a histogram for each of them.
		const metrics = createMeshMetrics();
		for (let index = 0; index < 1000; index++) {
			metrics.requestEnded({
				route: `route-${index}`,
				outcome: 'answered',
				reason: '',
				duration: 1,
			});
		}

		const text = await metrics.render(meshReadings, 0);
		expect(text.match(/^egretspoke_mesh_requests_total\{/gmu)).to.have.length(
			101,
		);
		expect(text).to.contain('route="other",outcome="answered",reason=""} 900');
	});
});
