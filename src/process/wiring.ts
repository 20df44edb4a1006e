import {createCallerServer} from '../connection/caller-server.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import {createUpstreamClient} from '../connection/upstream-client.ts';
import {DynamoTable} from '../platform/dynamo-table.ts';
import {HttpEngine} from '../platform/engine.ts';
import {HttpHostList, type Host} from '../platform/host-list.ts';
import {HttpObjectStore, type ObjectStore} from '../platform/object-store.ts';
import {OpenAdmission} from '../request/admission.ts';
import {ByteBudget} from '../request/byte-budget.ts';
import type {Call} from '../request/call.ts';
import type {ClaimStore} from '../request/claim-store.ts';
import {EmptyCrashRegister} from '../request/crash-register.ts';
import {RetryBudget} from '../request/retry-budget.ts';
import {LeastOutstandingRouter} from '../request/router.ts';
import type {RequestDemand} from '../request/request-demand.ts';
import type {Table} from '../platform/table.ts';
import {resolveRoute, type Contract} from '../version/contract.ts';
import type {Settings} from '../version/settings.ts';
import {ClaimSettler} from './claims/claim-settler.ts';
import {ClaimSweeper} from './claims/claim-sweeper.ts';
import {PlatformClaimStore} from './claims/platform-claim-store.ts';
import {groupedWrites, WriteBatcher} from './claims/write-batcher.ts';
import {parseAddress, type Address} from './address.ts';
import {Authority, type AuthorityTimes} from './authority.ts';
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
	/** Leases and orders of this daemon. */
	readonly authority: Authority;
};

/** Durations that tests shorten. */
export type DaemonTuning = {
	/** @default authorityTimes */
	readonly authorityTimes?: AuthorityTimes;
};

/** Limit on the memory that all request bodies hold together. */
const heldBodyBytes = 64 * 1024 * 1024;

/** Constructs the daemon from its parts and starts it. */
export async function createDaemon(settings: Settings, log: Log, tuning: DaemonTuning = {}): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const table = resources.use(new DynamoTable({
		endpoint: settings.platform.table,
		tableName: settings.platform['table-name'],
	}));
	const hostList = resources.use(new HostListPoller(log.part('hosts'), new HttpHostList(settings.platform.hosts)));
	const objects = new HttpObjectStore(settings.platform.objects);
	const clock = new SystemClock();
	const configuration = resources.use(new ConfigurationTask({
		log: log.part('configuration'),
		clock,
		table,
		objects,
		peers: new NoPeerConfigurationSource(),
		isPoller: () => true,
	}));
	const authority = resources.use(new Authority({
		log: log.part('authority'),
		table,
		clock,
		engine: new HttpEngine(),
		daemon: settings.daemon.id,
		availabilityZone: settings.daemon['availability-zone'],
		hosts: () => hostList.hosts,
		times: tuning.authorityTimes,
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
		upstreams: call => liveHosts().filter(host => !authority.draining.has(host.id) && serves(host, call)),
		isReady,
		isUnrepeatableRoute: demand => isUnrepeatable(configuration.contracts.get(demand.customer), demand),
		admission: new OpenAdmission(),
		claimStore: createClaimStore(resources, {
			log, table, objects, daemon: `${settings.daemon.id}@${Date.now()}`,
		}),
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
	authority.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address});
	return {
		address,
		isReady,
		authority,
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

/** Creates the claims and what runs for them in the background. */
function createClaimStore(
	resources: AsyncDisposableStack,
	{log, table, objects, daemon}: {readonly log: Log; readonly table: Table; readonly objects: ObjectStore; readonly daemon: string},
): ClaimStore {
	const claimLog = log.part('claims');
	const batcher = new WriteBatcher(table, groupedWrites);
	const settler = resources.use(new ClaimSettler({
		log: claimLog, table, objects, batcher,
	}));
	const now = () => Date.now();
	const sweeper = resources.use(new ClaimSweeper({
		log: claimLog, table, objects, isSweeper: () => true, now,
	}));
	sweeper.run();
	return new PlatformClaimStore({
		table, objects, batcher, settler, daemon, isLive: name => name === daemon, now,
	});
}

function isUnrepeatable(contract: Contract | undefined, {method, call}: RequestDemand): boolean {
	const path = call.kind === 'service' ? `/services/${call.service}${call.path}` : call.path;
	return contract !== undefined && (resolveRoute(contract, method, path)?.unrepeatable ?? false);
}

function serves(host: Host, call: Call): boolean {
	return call.kind === 'model'
		? host.kind === 'engine' && host.serves === call.model
		: host.kind === 'service' && host.serves === call.service;
}
