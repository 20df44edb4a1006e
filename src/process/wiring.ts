import {createCallerServer} from '../connection/caller-server.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import {createUpstreamClient} from '../connection/upstream-client.ts';
import {DynamoTable} from '../platform/dynamo-table.ts';
import {HttpHostList, type Host} from '../platform/host-list.ts';
import {HttpObjectStore} from '../platform/object-store.ts';
import {OpenAdmission} from '../request/admission.ts';
import {ByteBudget} from '../request/byte-budget.ts';
import type {Call} from '../request/call.ts';
import {AbsentClaimStore} from '../request/claim-store.ts';
import {EmptyCrashRegister} from '../request/crash-register.ts';
import {RetryBudget} from '../request/retry-budget.ts';
import {LeastOutstandingRouter} from '../request/router.ts';
import type {Settings} from '../version/settings.ts';
import {parseAddress, type Address} from './address.ts';
import {SystemClock} from './clock.ts';
import {NoPeerConfigurationSource} from './configuration/peer-configuration-source.ts';
import {ConfigurationTask} from './configuration-task.ts';
import {HostListPoller} from './host-list-poller.ts';
import type {Log} from './log.ts';
import {Metrics} from './metrics.ts';
import {RequestFront} from './request-front.ts';
import {createTraces} from './traces.ts';

/** A running daemon. */
export type Daemon = AsyncDisposable & {
	/** Address at which callers are served. */
	readonly address: Address;
	/** True once configuration and hosts are known. */
	readonly isReady: () => boolean;
};

/** Limit on the memory that all request bodies hold together. */
const heldBodyBytes = 64 * 1024 * 1024;

/** Constructs the daemon from its parts and starts it. */
export async function createDaemon(settings: Settings, log: Log): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const table = resources.use(new DynamoTable({
		endpoint: settings.platform.table,
		tableName: settings.platform['table-name'],
	}));
	const hostList = resources.use(new HostListPoller(log.part('hosts'), new HttpHostList(settings.platform.hosts)));
	const clock = new SystemClock();
	const configuration = resources.use(new ConfigurationTask({
		log: log.part('configuration'),
		clock,
		table,
		objects: new HttpObjectStore(settings.platform.objects),
		peers: new NoPeerConfigurationSource(),
		isPoller: () => true,
	}));
	const dispatcher = resources.adopt(createUpstreamClient(), async client => client.destroy());
	const traces = resources.use(createTraces(settings.daemon.id, settings.traces.endpoint));
	const isReady = () => configuration.isLoaded && hostList.hosts.length > 0;
	const liveHosts = () => hostList.hosts.filter(host => host.state === 'live');
	const metrics = new Metrics();
	const front = new RequestFront({
		log: log.part('front'),
		clock,
		dispatcher,
		metrics,
		tracer: traces.tracer,
		bodyLimits: {bodyBytes: settings.limits['body-bytes'], budget: new ByteBudget(heldBodyBytes)},
		keys: () => configuration.keys,
		models: () => [...new Set(liveHosts().filter(host => host.kind === 'engine').map(host => host.serves))].toSorted(),
		upstreams: call => liveHosts().filter(host => serves(host, call)),
		isReady,
		isUnrepeatableRoute: () => false,
		admission: new OpenAdmission(),
		claimStore: new AbsentClaimStore(),
		crashRegister: new EmptyCrashRegister(),
		router: new LeastOutstandingRouter(),
		retryBudget: new RetryBudget(),
		listeners: [metrics],
	});
	const server = createCallerServer({headerBytes: settings.limits['header-bytes']}, (request, response) => {
		void front.handle(request, response);
	});
	hostList.run();
	configuration.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address});
	return {
		address,
		isReady,
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

function serves(host: Host, call: Call): boolean {
	return call.kind === 'model'
		? host.kind === 'engine' && host.serves === call.model
		: host.kind === 'service' && host.serves === call.service;
}
