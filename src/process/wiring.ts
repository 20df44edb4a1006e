import {randomInt} from 'node:crypto';
import {Agent} from 'undici';
import {createCallerServer} from '../connection/caller-server.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import type {Connectivity} from '../connection/connectivity.ts';
import {OpenPeerAuthority} from '../connection/peer-authority.ts';
import {PeerClients} from '../connection/peer-clients.ts';
import {PeerServer} from '../connection/peer-server.ts';
import {probeUpstream} from '../connection/probe.ts';
import {UpstreamPool} from '../connection/upstream-pool.ts';
import {DynamoTable} from '../ports/dynamo-table.ts';
import {HttpEngine} from '../ports/engine.ts';
import {HttpHostList, type HostList} from '../ports/host-list.ts';
import {HttpObjectStore, type ObjectStore} from '../ports/object-store.ts';
import {ByteBudget} from '../request/byte-budget.ts';
import type {ClaimStore} from '../request/claim-store.ts';
import type {CrashRegister} from '../request/crash-register.ts';
import {RetryBudget} from '../request/retry-budget.ts';
import type {RequestDemand} from '../request/request-demand.ts';
import type {Table} from '../ports/table.ts';
import {resolveRoute, type Contract} from '../version/contract.ts';
import type {Settings} from '../version/settings.ts';
import {AdmissionTask} from './admission/admission-task.ts';
import {FairAdmission} from './admission/fair-admission.ts';
import {ClaimSettler} from './claims/claim-settler.ts';
import {ClaimSweeper} from './claims/claim-sweeper.ts';
import {DispatchRecord} from './claims/dispatch-record.ts';
import {PeerWitnesses} from './claims/dispatch-witnesses.ts';
import {PlatformClaimStore} from './claims/platform-claim-store.ts';
import {groupedWrites, WriteBatcher} from './claims/write-batcher.ts';
import {decodeCrashNews, encodeCrashNews} from './crashes/crash-news.ts';
import {CrashRowTask} from './crashes/crash-row-task.ts';
import {UpstreamCrashRegister} from './crashes/upstream-crash-register.ts';
import {parseAddress, type Address} from './address.ts';
import {Authority, type AuthorityTimes} from './authority.ts';
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
import {createPeerHandlers, type PeerAnswerers} from './peer-handlers.ts';
import {SeededRandom} from './random.ts';
import {RequestFront} from './request-front.ts';
import {Allotments} from './shares/allotments.ts';
import {UsageExchange} from './shares/usage-exchange.ts';
import {provideStatus} from './status-sections.ts';
import {StatusRegistry} from './status-registry.ts';
import {createTraces} from './traces.ts';
import {UpstreamDirectory} from './upstream-directory.ts';

/** A running daemon. */
export type Daemon = AsyncDisposable & {
	/** Address at which callers are served. */
	readonly address: Address;
	/** Address of the peer protocol. */
	readonly peerAddress: Address;
	/** True once configuration and hosts are known. */
	readonly isReady: () => boolean;
	/** Leases and orders of this daemon. */
	readonly authority: Authority;
	/** Stops accepting requests and resolves when all in flight have ended. */
	readonly drain: () => Promise<void>;
};

/** Durations that tests shorten, and interfaces at which they cause faults. */
export type DaemonTuning = {
	/** @default authorityTimes */
	readonly authorityTimes?: AuthorityTimes;
	/** Factor by which the durations of the membership are divided. @default 1 */
	readonly membershipSpeed?: number;
	/** Peers and upstreams that the daemon reaches. @default all */
	readonly connectivity?: Connectivity;
	/** Wraps the platform's table. */
	readonly wrapTable?: (table: Table) => Table;
	/** Wraps the host list. */
	readonly wrapHostList?: (list: HostList) => HostList;
};

/** What most parts of the daemon are built from. */
type Base = {
	readonly resources: AsyncDisposableStack;
	readonly settings: Settings;
	readonly log: Log;
	readonly clock: Clock;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly hostList: HostListPoller;
	/** Wall time at which the daemon started, in milliseconds. */
	readonly incarnation: number;
	readonly tuning: DaemonTuning;
};

/** Limit on the memory that all request bodies hold together. */
const heldBodyBytes = 64 * 1024 * 1024;
/** Daemons of a zone that read the configuration's head each second. */
const configurationPollers = 2;
const maxSeed = 2 ** 31;

/** Constructs the daemon from its parts and starts it. */
export async function createDaemon(settings: Settings, log: Log, tuning: DaemonTuning = {}): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const base = createBase(resources, settings, log, tuning);
	const {hostList} = base;
	const peers = await createPeers(base);
	const {configuration, directory, lifecycle, membership} = peers;
	const authority = createAuthority(base, peers);
	peers.status.provide('leases', () => authority.heldGroups);
	peers.status.provide('drainingForPlans', () => [...authority.draining]);
	const front = createFront(base, peers, authority);
	const server = createCallerServer({headerBytes: settings.limits['header-bytes']}, (request, response) => {
		if (lifecycle.phase === 'draining') {
			response.setHeader('connection', 'close');
		}

		void front.handle(request, response);
	});
	provideStatus(peers.status, {
		settings, hostList, directory, membership, lifecycle, configuration,
	});
	peers.answer({
		membership, configuration, status: peers.status, dispatches: peers.dispatches,
	});
	membership.run();
	hostList.run();
	configuration.run();
	authority.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address, peerAddress: peers.address});
	return {
		address,
		peerAddress: peers.address,
		isReady: () => lifecycle.phase === 'ready',
		authority,
		drain: async () => lifecycle.drain(server),
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

function createBase(resources: AsyncDisposableStack, settings: Settings, log: Log, tuning: DaemonTuning): Base {
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
		hostList: resources.use(new HostListPoller(log.part('hosts'), tuning.wrapHostList?.(hostList) ?? hostList)),
		incarnation: Date.now(),
		tuning,
	};
}

/** What a daemon shares with its peers: membership, configuration and its own phase. */
type Peers = {
	readonly address: Address;
	readonly membership: MembershipTask;
	readonly configuration: ConfigurationTask;
	readonly directory: UpstreamDirectory;
	readonly lifecycle: Lifecycle;
	readonly status: StatusRegistry;
	readonly clients: PeerClients;
	/** Claims that this daemon may have dispatched. */
	readonly dispatches: DispatchRecord;
	/** Starts answering peers. */
	readonly answer: (answerers: PeerAnswerers) => void;
};

async function createPeers(base: Base): Promise<Peers> {
	const {resources, settings, log, clock, table, objects, hostList} = base;
	const clients = resources.use(new PeerClients(new OpenPeerAuthority(), base.tuning.connectivity));
	const answerers = Promise.withResolvers<PeerAnswerers>();
	const peerServer = resources.use(new PeerServer(createPeerHandlers(answerers.promise), new OpenPeerAuthority()));
	const address = await peerServer.listen(parseAddress(settings.daemon['peer-listen']));
	const lifecycle = new Lifecycle({
		log: log.part('lifecycle'),
		balancerDelayMs: settings.shutdown['balancer-delay-ms'],
		isPrepared: () => configuration.isLoaded && hostList.hosts.length > 0,
		onDraining() {
			membership.noticePhase();
		},
	});
	const membership = createMembership(base, {address, clients, lifecycle});
	const configuration: ConfigurationTask = resources.use(new ConfigurationTask({
		log: log.part('configuration'),
		clock,
		table,
		objects,
		peers: new PeerConfigurationClient(() => membership.members, clients),
		isPoller: () => membership.isAmongFirst('configuration', configurationPollers),
		onApplied(version) {
			membership.setConfigurationVersion(version);
		},
	}));
	hostList.subscribe(hosts => {
		membership.hostsSeen(hosts);
	});
	membership.subscribe(event => {
		if (event.kind === 'version') {
			configuration.noticePeers();
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
			isZoneSilent: zone => membership.isZoneSilent(zone),
		}),
		lifecycle,
		status: new StatusRegistry(),
		clients,
		dispatches: new DispatchRecord(),
		answer: answerers.resolve,
	};
}

function createMembership(
	{resources, settings, log, clock, hostList, incarnation, tuning}: Base,
	{address, clients, lifecycle}: {readonly address: Address; readonly clients: PeerClients; readonly lifecycle: Lifecycle},
): MembershipTask {
	return resources.use(new MembershipTask({
		log: log.part('membership'),
		clock,
		clients,
		membership: new Membership({
			id: settings.daemon.id,
			availabilityZone: settings.daemon['availability-zone'],
			peerUrl: `http://${address.host}:${address.port}`,
			incarnation,
			random: new SeededRandom(randomInt(maxSeed)),
		}),
		speed: tuning.membershipSpeed,
		phase: () => lifecycle.peerPhase,
		async probe(upstream) {
			const host = hostList.hosts.find(({id}) => id === upstream);
			return host === undefined ? 'silent' : probeUpstream(`http://${host.address}`);
		},
	}));
}

function createAuthority(
	{resources, settings, log, table, clock, hostList, tuning}: Base,
	{membership, lifecycle}: Peers,
): Authority {
	const authority = resources.use(new Authority({
		log: log.part('authority'),
		table,
		clock,
		engine: new HttpEngine(),
		daemon: settings.daemon.id,
		availabilityZone: settings.daemon['availability-zone'],
		hosts: () => hostList.hosts,
		members: () => membership.livingInZone,
		times: tuning.authorityTimes,
	}));
	lifecycle.onDrain({name: 'leases', run: async () => authority.resign()});
	return authority;
}

function createUpstreamPool({resources, clock, log, tuning}: Base, {directory, membership}: Peers): UpstreamPool {
	const poolLog = log.part('connections');
	const markLeaving = (origin: string) => {
		const upstream = directory.at(origin);
		if (upstream !== undefined) {
			membership.leavingSeen(upstream.id, true);
		}
	};

	return resources.use(new UpstreamPool(clock, {
		reached(origin) {
			directory.noteConnection(origin, true);
		},
		unreached(origin) {
			directory.noteConnection(origin, false);
		},
		leavingSeen: markLeaving,
		refused: markLeaving,
		silentSeen(origin, closed) {
			poolLog.warn('Silent connections were closed.', {origin, closed});
		},
	}, tuning.connectivity));
}

function createFront(base: Base, peers: Peers, authority: Authority): RequestFront {
	const {resources, settings, log, clock} = base;
	const {configuration, directory, lifecycle} = peers;
	const traces = resources.use(createTraces(settings.daemon.id, settings.traces.endpoint));
	const metrics = new Metrics();
	const {router, admission} = createLoadControl(base, peers);
	return new RequestFront({
		log: log.part('front'),
		clock,
		dispatcher: createUpstreamPool(base, peers),
		metrics,
		tracer: traces.tracer,
		bodyLimits: {bodyBytes: settings.limits['body-bytes'], budget: new ByteBudget(heldBodyBytes)},
		keys: () => configuration.keys,
		models: () => directory.models,
		upstreams: call => directory.serving(call).filter(({id}) => !authority.draining.has(id)),
		isReady: () => lifecycle.phase === 'ready',
		isUnrepeatableRoute: demand => isUnrepeatable(configuration.contracts.get(demand.customer), demand),
		admission,
		claimStore: createClaimStore(base, peers),
		crashRegister: createCrashRegister(base, peers),
		router,
		retryBudget: new RetryBudget(),
		listeners: [metrics, admission.listener],
	});
}

/** Creates routing by load and admission, with the reports of the engines. */
function createLoadControl({resources, settings, log, clock}: Base, {directory, membership, configuration}: Peers) {
	const dispatcher = resources.adopt(new Agent(), async agent => agent.destroy());
	const loads = new LoadTable({
		availabilityZone: settings.daemon['availability-zone'],
		random: new SeededRandom(randomInt(maxSeed)),
	});
	const upstreams = () => directory.upstreams.filter(({state}) => state === 'live');
	const poller = resources.use(new LoadPoller({
		log: log.part('load'), clock, dispatcher, loads, upstreams,
	}));
	const allotments = new Allotments({share: customer => configuration.contracts.get(customer)?.share ?? 1});
	const admission = new FairAdmission({
		clock,
		engineSlots: settings.limits['engine-slots'],
		contract: customer => configuration.contracts.get(customer),
		usualLatency: model => loads.usualLatency(`engine ${model}`),
		engines: model => directory.serving({
			kind: 'model', model, path: '', stream: false,
		}).length,
		allotments,
	});
	const exchange = resources.use(new UsageExchange({
		log: log.part('usage'),
		clock,
		allotments,
		waitingTokens: customer => admission.waitingTokens(customer),
		daemons: () => 1 + membership.members.filter(({condition}) => condition !== 'dead').length,
		announce(item) {
			membership.announce(item);
		},
	}));
	membership.subscribe(event => {
		if (event.kind === 'news') {
			exchange.hear(event.news);
		}
	});
	const admissionTask = resources.use(new AdmissionTask(log.part('admission'), admission));
	poller.run();
	admissionTask.run();
	exchange.run();
	return {router: new LoadRouter({clock, loads, upstreams}), admission};
}

/** Creates the claims and what runs for them in the background. */
function createClaimStore(
	{resources, settings, log, clock, table, objects, incarnation}: Base,
	{membership, clients, dispatches}: Peers,
): ClaimStore {
	const daemon = toClaimOwner(settings.daemon.id, incarnation);
	const claimLog = log.part('claims');
	const batcher = new WriteBatcher(table, groupedWrites);
	const settler = resources.use(new ClaimSettler({
		log: claimLog, table, objects, batcher,
	}));
	const now = () => Date.now();
	const sweeper = resources.use(new ClaimSweeper({
		log: claimLog, table, objects, isSweeper: () => membership.isAmongFirst('claims', 1), now,
	}));
	sweeper.run();
	const witnesses = new PeerWitnesses({clock, clients, members: () => membership.members});
	membership.subscribe(event => {
		if (event.kind === 'member') {
			witnesses.notice(event.member);
		}
	});
	return new PlatformClaimStore({
		table,
		objects,
		batcher,
		settler,
		daemon,
		isLive: name => name === daemon || membership.members.some(isOwner(name)),
		now,
		dispatches,
		witnesses,
	});
}

/** Creates the register of requests that crash upstreams, which hears of the crashes at other daemons. */
function createCrashRegister({resources, log, clock, table}: Base, {membership}: Peers): CrashRegister {
	const register = new UpstreamCrashRegister({
		clock,
		announce(news) {
			membership.announce(encodeCrashNews(news));
			rows.record(news);
		},
	});
	const rows = resources.use(new CrashRowTask({
		log: log.part('crashes'),
		table,
		learn(news) {
			register.learn(news);
		},
		tick() {
			register.tick();
		},
		isSweeper: () => membership.isAmongFirst('crashes', 1),
		now: () => Date.now(),
	}));
	membership.subscribe(event => {
		if (event.kind === 'news' && event.news.item.case === 'crashingRequest') {
			register.learn(decodeCrashNews(event.news.item.value));
		}
	});
	rows.run();
	return register;
}

function isUnrepeatable(contract: Contract | undefined, {method, call}: RequestDemand): boolean {
	const path = call.kind === 'service' ? `/services/${call.service}${call.path}` : call.path;
	return contract !== undefined && (resolveRoute(contract, method, path)?.unrepeatable ?? false);
}

/** Name of one run of a daemon; a restarted daemon does not own the claims of its former run. */
function toClaimOwner(id: string, incarnation: number): string {
	return `${id}@${incarnation}`;
}

function isOwner(name: string): (member: Member) => boolean {
	return ({id, incarnation, condition}) => condition !== 'dead' && toClaimOwner(id, incarnation) === name;
}
