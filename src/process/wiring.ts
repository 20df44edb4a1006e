import {randomInt} from 'node:crypto';
import {createCallerServer} from '../connection/caller-server.ts';
import {limitConnections, limitPeerConnections} from '../connection/connection-limits.ts';
import {createGuardedAgent} from '../connection/guarded-agent.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import type {Connectivity} from '../connection/connectivity.ts';
import {AllowAllPeerAuthenticator} from '../connection/peer-authenticator.ts';
import {PeerClients} from '../connection/peer-clients.ts';
import {PeerServer} from '../connection/peer-server.ts';
import {probeUpstream} from '../connection/probe.ts';
import {refusesConnections} from '../connection/refusal-probe.ts';
import {UpstreamPool} from '../connection/upstream-pool.ts';
import {DynamoTable} from '../ports/dynamo-table.ts';
import {HttpEngine} from '../ports/engine.ts';
import {HttpHostList, type HostList} from '../ports/host-list.ts';
import {HttpObjectStore, type ObjectStore} from '../ports/object-store.ts';
import {CallerBudget} from '../request/caller-budget.ts';
import type {ClaimStore} from '../request/claim-store.ts';
import type {CrashRegistry} from '../request/crash-registry.ts';
import {RetryBudget} from '../request/retry-budget.ts';
import type {RequestDemand} from '../request/request-demand.ts';
import type {Table} from '../ports/table.ts';
import {resolveRoute, type Contract} from '../version/contract.ts';
import type {Settings} from '../version/settings.ts';
import {CallerLimits} from './caller-limits.ts';
import {AdmissionTask} from './admission/admission-task.ts';
import {FairAdmission} from './admission/fair-admission.ts';
import {ClaimSettler} from './claims/claim-settler.ts';
import {ClaimSweeper} from './claims/claim-sweeper.ts';
import {RecentDispatches} from './claims/recent-dispatches.ts';
import {PeerDispatchLookup} from './claims/dispatch-lookup.ts';
import {PlatformClaimStore} from './claims/platform-claim-store.ts';
import {groupedWrites, WriteBatcher} from './claims/write-batcher.ts';
import {decodeCrashNews, encodeCrashNews} from './crashes/crash-news.ts';
import {CrashMonitor, crashMessages} from './crashes/crash-monitor.ts';
import {CrashMemoryTask} from './crashes/crash-memory-task.ts';
import {UpstreamCrashRegistry} from './crashes/upstream-crash-registry.ts';
import {parseAddress, type Address} from './address.ts';
import {EngineGroupManager, type EngineGroupTimings} from './engine-group-manager.ts';
import {SystemClock, type Clock} from './clock.ts';
import {PeerConfigurationClient} from './configuration/peer-configuration-client.ts';
import {ConfigurationTask} from './configuration-task.ts';
import {HostListPoller} from './host-list-poller.ts';
import {Lifecycle} from './lifecycle.ts';
import {LoadPoller} from './load/load-poller.ts';
import {LoadRouter} from './load/load-router.ts';
import {LoadTable} from './load/load-table.ts';
import type {Log} from './log.ts';
import type {Member} from './membership/member.ts';
import {Membership} from './membership/membership.ts';
import {MembershipTask} from './membership-task.ts';
import {Metrics} from './metrics.ts';
import {createPeerHandlers, type PeerHandlerDependencies} from './peer-handlers.ts';
import {SeededRandom} from './random.ts';
import {RequestHandler} from './request-handler.ts';
import {ShareAllocator} from './shares/share-allocator.ts';
import {UsageExchange} from './shares/usage-exchange.ts';
import {addStatusSections} from './status-sections.ts';
import {StatusRegistry} from './status-registry.ts';
import {createTraces} from './traces.ts';
import {UpstreamDirectory} from './upstream-directory.ts';

/** Interval at which daemons read what others have stored of crashes, in milliseconds; news may be lost on its way. */
const crashMemoryReadIntervalMs = 30_000;

/** A running daemon. */
export type Daemon = AsyncDisposable & {
	/** Address that callers connect to. */
	readonly address: Address;
	/** Address that peers connect to. */
	readonly peerAddress: Address;
	/** True once configuration and hosts are known. */
	readonly isReady: () => boolean;
	/** Engine groups that this daemon competes for, with their leases and orders. */
	readonly engineGroups: EngineGroupManager;
	/** Stops accepting requests and resolves once all requests in flight have ended. */
	readonly drain: () => Promise<void>;
};

/** Overrides for tests: shorter durations, and wrappers that inject faults. */
export type DaemonTuning = {
	/** @default engineGroupTimings */
	readonly engineGroupTimings?: EngineGroupTimings;
	/** Factor by which membership durations are shortened. @default 1 */
	readonly membershipSpeedFactor?: number;
	/** Decides which peers and upstreams the daemon can reach. @default all of them */
	readonly connectivity?: Connectivity;
	/** Wraps the platform's table. */
	readonly wrapTable?: (table: Table) => Table;
	/** Wraps the host list. */
	readonly wrapHostList?: (list: HostList) => HostList;
};

/** Settings and components that most other components of the daemon depend on. */
type BaseComponents = {
	readonly resources: AsyncDisposableStack;
	readonly settings: Settings;
	readonly log: Log;
	readonly clock: Clock;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly hostList: HostListPoller;
	/** Wall-clock time at which the daemon started, in Unix milliseconds. */
	readonly incarnation: number;
	readonly tuning: DaemonTuning;
};

/** Limit on the memory that all request bodies take together. */
const bodyMemoryLimitBytes = 64 * 1024 * 1024;
const mebibyte = 1024 * 1024;
/** Fraction of the host's memory that request bodies may use, where the settings name that memory. */
const bodyMemoryFraction = 0.15;
/** The same for answers that callers have not taken. */
const unsentMemoryFraction = 0.1;
/** Time without a byte after which a body is refused, in milliseconds. */
const bodyStallMs = 30_000;
const callerCheckIntervalMs = 1000;
/** Daemons of an availability zone that read the head of the configuration every second. */
const configurationPollersPerZone = 2;
const maxSeed = 2 ** 31;

/** Creates a daemon with all its components and starts it. */
export async function createDaemon(settings: Settings, log: Log, tuning: DaemonTuning = {}): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const base = createBaseComponents(resources, settings, log, tuning);
	const {hostList} = base;
	const peers = await createPeerComponents(base);
	const {configuration, directory, lifecycle, membership} = peers;
	const engineGroups = createEngineGroupManager(base, peers);
	peers.status.addSection('leases', () => engineGroups.heldGroups);
	peers.status.addSection('drainingForPlans', () => [...engineGroups.draining]);
	const callers = createCallerResources(base);
	const requestHandler = createRequestHandler(base, peers, engineGroups, callers);
	const memoryMb = settings.limits['memory-mb'];
	const server = createCallerServer({
		maxHeaderBytes: settings.limits['header-bytes'],
		maxConnections: limitConnections(memoryMb === undefined ? undefined : memoryMb * mebibyte, settings.limits['max-descriptors']),
		onLimited(limit) {
			callers.limits.note(limit);
		},
		closesConnections: () => lifecycle.phase === 'draining',
	}, (request, response) => {
		void requestHandler.handle(request, response);
	});
	addStatusSections(peers.status, {
		settings, hostList, directory, membership, lifecycle, configuration,
	});
	peers.startAnswering({
		membership, configuration, status: peers.status, dispatches: peers.dispatches,
	});
	membership.run();
	hostList.run();
	configuration.run();
	engineGroups.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address, peerAddress: peers.address});
	return {
		address,
		peerAddress: peers.address,
		isReady: () => lifecycle.phase === 'ready',
		engineGroups,
		drain: async () => lifecycle.drain(server),
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

/** What the requests of all callers share. */
type CallerResources = {
	readonly metrics: Metrics;
	readonly bodyBudget: CallerBudget;
	readonly limits: CallerLimits;
};

function createCallerResources({resources, settings, log, clock}: BaseComponents): CallerResources {
	const metrics = new Metrics();
	const memoryMb = settings.limits['memory-mb'];
	const bodyBudget = new CallerBudget(memoryMb === undefined ? bodyMemoryLimitBytes : memoryMb * mebibyte * bodyMemoryFraction);
	const callerLog = log.child('callers');
	const limits = new CallerLimits({
		count(limit) {
			metrics.callerLimited(limit);
		},
		log(counts) {
			callerLog.warn('Refused requests and closed connections at limits on callers.', counts);
		},
	});
	const timer = setInterval(() => {
		bodyBudget.refuseStalled(clock.now(), bodyStallMs);
		limits.report(clock.now());
	}, callerCheckIntervalMs);
	timer.unref();
	resources.defer(() => {
		clearInterval(timer);
	});
	return {metrics, bodyBudget, limits};
}

function createBaseComponents(resources: AsyncDisposableStack, settings: Settings, log: Log, tuning: DaemonTuning): BaseComponents {
	const table = resources.use(new DynamoTable({
		endpoint: settings.platform.table,
		tableName: settings.platform['table-name'],
	}));
	const hostList = new HttpHostList(settings.platform.hosts);
	return {
		resources,
		settings,
		log,
		clock: new SystemClock(),
		table: tuning.wrapTable?.(table) ?? table,
		objects: new HttpObjectStore(settings.platform.objects),
		hostList: resources.use(new HostListPoller(log.child('hosts'), tuning.wrapHostList?.(hostList) ?? hostList)),
		incarnation: Date.now(),
		tuning,
	};
}

/** Components that exchange state with peers, or depend on that state. */
type PeerComponents = {
	readonly address: Address;
	readonly membership: MembershipTask;
	readonly configuration: ConfigurationTask;
	readonly directory: UpstreamDirectory;
	readonly lifecycle: Lifecycle;
	readonly status: StatusRegistry;
	readonly clients: PeerClients;
	/** Claims that this daemon may have dispatched. */
	readonly dispatches: RecentDispatches;
	/** Provides the components that answer peers; requests of peers wait until then. */
	readonly startAnswering: (dependencies: PeerHandlerDependencies) => void;
};

async function createPeerComponents(base: BaseComponents): Promise<PeerComponents> {
	const {resources, settings, log, clock, table, objects, hostList} = base;
	const clients = resources.use(new PeerClients(new AllowAllPeerAuthenticator(), base.tuning.connectivity));
	const dependencies = Promise.withResolvers<PeerHandlerDependencies>();
	const peerServer = resources.use(new PeerServer(createPeerHandlers(dependencies.promise), new AllowAllPeerAuthenticator(), limitPeerConnections(settings.limits['max-descriptors'])));
	const address = await peerServer.listen(parseAddress(settings.daemon['peer-listen']));
	const lifecycle = new Lifecycle({
		log: log.child('lifecycle'),
		balancerDelayMs: settings.shutdown['balancer-delay-ms'],
		isPrepared: () => configuration.isLoaded && hostList.hosts.length > 0,
		onDraining() {
			membership.announcePhase();
		},
	});
	const membership = createMembership(base, {address, clients, lifecycle});
	const configuration: ConfigurationTask = resources.use(new ConfigurationTask({
		log: log.child('configuration'),
		clock,
		table,
		objects,
		peers: new PeerConfigurationClient(() => membership.members, clients),
		isPoller: () => membership.isAmongTopRanked('configuration', configurationPollersPerZone),
		onApplied(version) {
			membership.setConfigurationVersion(version);
		},
	}));
	hostList.subscribe(hosts => {
		membership.updateHosts(hosts);
	});
	membership.subscribe(event => {
		if (event.kind === 'version') {
			configuration.checkPeerVersions();
		}
	});
	return {
		address,
		membership,
		configuration,
		directory: new UpstreamDirectory({
			hosts: () => hostList.hosts,
			isLeaving: upstream => membership.isLeaving(upstream),
			leavingVersion: () => membership.leavingVersion,
			isZoneDead: zone => membership.isZoneDead(zone),
		}),
		lifecycle,
		status: new StatusRegistry(),
		clients,
		dispatches: new RecentDispatches(),
		startAnswering: dependencies.resolve,
	};
}

function createMembership(
	{resources, settings, log, clock, hostList, incarnation, tuning}: BaseComponents,
	{address, clients, lifecycle}: {readonly address: Address; readonly clients: PeerClients; readonly lifecycle: Lifecycle},
): MembershipTask {
	return resources.use(new MembershipTask({
		log: log.child('membership'),
		clock,
		clients,
		membership: new Membership({
			id: settings.daemon.id,
			availabilityZone: settings.daemon['availability-zone'],
			peerUrl: `http://${address.host}:${address.port}`,
			incarnation,
			random: new SeededRandom(randomInt(maxSeed)),
		}),
		speedFactor: tuning.membershipSpeedFactor,
		phase: () => lifecycle.peerPhase,
		async probe(upstream) {
			const host = hostList.hosts.find(({id}) => id === upstream);
			return host === undefined ? 'silent' : probeUpstream(`http://${host.address}`);
		},
	}));
}

function createEngineGroupManager(
	{resources, settings, log, table, clock, hostList, tuning}: BaseComponents,
	{membership, lifecycle}: PeerComponents,
): EngineGroupManager {
	const engineGroups = resources.use(new EngineGroupManager({
		log: log.child('authority'),
		table,
		clock,
		engine: new HttpEngine(),
		daemon: settings.daemon.id,
		availabilityZone: settings.daemon['availability-zone'],
		hosts: () => hostList.hosts,
		members: () => membership.liveMembersInZone,
		times: tuning.engineGroupTimings,
	}));
	lifecycle.addDrainHook({name: 'leases', run: async () => engineGroups.resign()});
	return engineGroups;
}

function createUpstreamPool({resources, clock, log, tuning}: BaseComponents, {directory, membership}: PeerComponents): UpstreamPool {
	const poolLog = log.child('connections');
	const markLeaving = (origin: string) => {
		const upstream = directory.findByOrigin(origin);
		if (upstream !== undefined) {
			membership.reportLeaving(upstream.id, true);
		}
	};

	return resources.use(new UpstreamPool(clock, {
		onConnected(origin) {
			directory.recordConnection(origin, true);
		},
		onConnectTimeout(origin) {
			directory.recordConnection(origin, false);
		},
		onLeaving: markLeaving,
		onRefused: markLeaving,
		onSilentConnections(origin, closed) {
			poolLog.warn('Closed connections that had become silent.', {origin, closed});
		},
	}, tuning.connectivity));
}

function createRequestHandler(base: BaseComponents, peers: PeerComponents, engineGroups: EngineGroupManager, {metrics, bodyBudget, limits}: CallerResources): RequestHandler {
	const {resources, settings, log, clock} = base;
	const {configuration, directory, lifecycle} = peers;
	const traces = resources.use(createTraces(settings.daemon.id, settings.traces.endpoint));
	const {router, admission} = createLoadControl(base, peers);
	return new RequestHandler({
		log: log.child('front'),
		clock,
		dispatcher: createUpstreamPool(base, peers),
		metrics,
		tracer: traces.tracer,
		bodyLimits: {
			maxBodyBytes: settings.limits['body-bytes'],
			budget: bodyBudget,
			onRefused(reason) {
				limits.note(reason);
			},
		},
		keys: () => configuration.keys,
		models: () => directory.models,
		upstreams: call => directory.eligibleUpstreams(call).filter(({id}) => !engineGroups.draining.has(id)),
		isReady: () => lifecycle.phase === 'ready',
		isUnrepeatableRoute: demand => isUnrepeatable(configuration.contracts.get(demand.customer), demand),
		admission,
		claimStore: createClaimStore(base, peers),
		crashRegistry: createCrashRegistry(base, peers),
		router,
		retryBudget: new RetryBudget(),
		listeners: [metrics, admission.listener],
	});
}

/** Creates load-based routing and admission, and starts the tasks that poll engines and exchange usage with peers. */
function createLoadControl({resources, settings, log, clock}: BaseComponents, {directory, membership, configuration}: PeerComponents) {
	const dispatcher = resources.adopt(createGuardedAgent(), async agent => agent.destroy());
	const loads = new LoadTable({
		availabilityZone: settings.daemon['availability-zone'],
		random: new SeededRandom(randomInt(maxSeed)),
	});
	const upstreams = () => directory.upstreams.filter(({state}) => state === 'live');
	const poller = resources.use(new LoadPoller({
		log: log.child('load'), clock, dispatcher, loads, upstreams,
	}));
	const allocator = new ShareAllocator({share: customer => configuration.contracts.get(customer)?.share ?? 1});
	const admission = new FairAdmission({
		clock,
		engineSlots: settings.limits['engine-slots'],
		contract: customer => configuration.contracts.get(customer),
		typicalLatency: model => loads.typicalLatency(`engine ${model}`),
		engines: model => directory.eligibleUpstreams({
			kind: 'model', model, path: '', stream: false,
		}).length,
		allocator,
	});
	const exchange = resources.use(new UsageExchange({
		log: log.child('usage'),
		clock,
		allocator,
		waitingTokens: customer => admission.waitingTokens(customer),
		daemonCount: () => 1 + membership.members.filter(({condition}) => condition !== 'dead').length,
		announce(item) {
			membership.announce(item);
		},
	}));
	membership.subscribe(event => {
		if (event.kind === 'news') {
			exchange.handleNews(event.news);
		}
	});
	const admissionTask = resources.use(new AdmissionTask(log.child('admission'), admission));
	poller.run();
	admissionTask.run();
	exchange.run();
	return {router: new LoadRouter({clock, loads, upstreams}), admission};
}

/** Creates the claim store and its background tasks. */
function createClaimStore(
	{resources, settings, log, clock, table, objects, incarnation}: BaseComponents,
	{membership, clients, dispatches}: PeerComponents,
): ClaimStore {
	const daemon = toClaimOwner(settings.daemon.id, incarnation);
	const claimLog = log.child('claims');
	const batcher = new WriteBatcher(table, groupedWrites);
	const settler = resources.use(new ClaimSettler({
		log: claimLog, table, objects, batcher,
	}));
	const now = () => Date.now();
	const sweeper = resources.use(new ClaimSweeper({
		log: claimLog, table, objects, isSweeper: () => membership.isAmongTopRanked('claims', 1), now,
	}));
	sweeper.run();
	const dispatchLookup = new PeerDispatchLookup({clock, clients, members: () => membership.members});
	membership.subscribe(event => {
		if (event.kind === 'member') {
			dispatchLookup.observeMember(event.member);
		}
	});
	return new PlatformClaimStore({
		table,
		objects,
		batcher,
		settler,
		daemon,
		isLive: name => name === daemon || membership.members.some(isClaimOwner(name)),
		now,
		dispatches,
		dispatchLookup,
	});
}

/** Creates the registry of requests that crash upstreams, and connects it to news of crashes seen by other daemons. */
function createCrashRegistry({resources, log, clock, table}: BaseComponents, {membership}: PeerComponents): CrashRegistry {
	const crashLog = log.child('crashes');
	const monitor = new CrashMonitor({
		clock,
		announce(news) {
			membership.announce(encodeCrashNews(news));
		},
		refusesConnections,
		isServing: upstream => !membership.isLeaving(upstream),
		report(event, fields) {
			crashLog.info(crashMessages[event], fields);
		},
	});
	const memory = resources.use(new CrashMemoryTask({
		log: crashLog,
		table,
		clock,
		monitor,
		rank: () => membership.isAmongTopRanked('crashes', 1) ? 0 : (membership.isAmongTopRanked('crashes', 2) ? 1 : Number.POSITIVE_INFINITY),
		readIntervalMs: crashMemoryReadIntervalMs,
		now: () => Date.now(),
	}));
	membership.subscribe(event => {
		if (event.kind === 'news' && event.news.item.case === 'crashingRequest') {
			monitor.applyNews(decodeCrashNews(event.news.item.value));
		}
	});
	memory.run();
	return new UpstreamCrashRegistry(monitor);
}

function isUnrepeatable(contract: Contract | undefined, {method, call}: RequestDemand): boolean {
	const path = call.kind === 'service' ? `/services/${call.service}${call.path}` : call.path;
	return contract !== undefined && (resolveRoute(contract, method, path)?.unrepeatable ?? false);
}

/** Name of one incarnation of a daemon; a restarted daemon does not own the claims of its previous incarnation. */
function toClaimOwner(id: string, incarnation: number): string {
	return `${id}@${incarnation}`;
}

function isClaimOwner(name: string): (member: Member) => boolean {
	return ({id, incarnation, condition}) => condition !== 'dead' && toClaimOwner(id, incarnation) === name;
}
