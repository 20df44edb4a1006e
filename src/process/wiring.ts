import {randomInt} from 'node:crypto';
import {createCallerServer} from '../connection/caller-server.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import {OpenPeerAuthority} from '../connection/peer-authority.ts';
import {PeerClients} from '../connection/peer-clients.ts';
import {PeerServer} from '../connection/peer-server.ts';
import {probeUpstream} from '../connection/probe.ts';
import {UpstreamPool} from '../connection/upstream-pool.ts';
import {DynamoTable} from '../platform/dynamo-table.ts';
import {HttpHostList} from '../platform/host-list.ts';
import {HttpObjectStore} from '../platform/object-store.ts';
import {OpenAdmission} from '../request/admission.ts';
import {ByteBudget} from '../request/byte-budget.ts';
import {AbsentClaimStore} from '../request/claim-store.ts';
import {EmptyCrashRegister} from '../request/crash-register.ts';
import {RetryBudget} from '../request/retry-budget.ts';
import {LeastOutstandingRouter} from '../request/router.ts';
import type {Settings} from '../version/settings.ts';
import {parseAddress, type Address} from './address.ts';
import {SystemClock} from './clock.ts';
import {PeerConfigurationClient} from './configuration/peer-configuration-client.ts';
import {ConfigurationTask} from './configuration-task.ts';
import {HostListPoller} from './host-list-poller.ts';
import {Lifecycle} from './lifecycle.ts';
import type {Log} from './log.ts';
import {Membership} from './membership/membership.ts';
import {MembershipTask} from './membership-task.ts';
import {Metrics} from './metrics.ts';
import {createPeerHandlers, type PeerAnswerers} from './peer-handlers.ts';
import {SeededRandom} from './random.ts';
import {RequestFront} from './request-front.ts';
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
	/** Stops accepting requests and resolves when all in flight have ended. */
	readonly drain: () => Promise<void>;
};

/** Limit on the memory that all request bodies hold together. */
const heldBodyBytes = 64 * 1024 * 1024;
/** Daemons of a zone that read the configuration's head each second. */
const configurationPollers = 2;
const maxSeed = 2 ** 31;

/** Constructs the daemon from its parts and starts it. */
export async function createDaemon(settings: Settings, log: Log): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const clock = new SystemClock();
	const table = resources.use(new DynamoTable({
		endpoint: settings.platform.table,
		tableName: settings.platform['table-name'],
	}));
	const hostList = resources.use(new HostListPoller(log.part('hosts'), new HttpHostList(settings.platform.hosts)));
	const clients = resources.use(new PeerClients(new OpenPeerAuthority()));
	const answerers = Promise.withResolvers<PeerAnswerers>();
	const peerServer = resources.use(new PeerServer(createPeerHandlers(answerers.promise), new OpenPeerAuthority()));
	const peerAddress = await peerServer.listen(parseAddress(settings.daemon['peer-listen']));
	const lifecycle = new Lifecycle({
		log: log.part('lifecycle'),
		balancerDelayMs: settings.shutdown['balancer-delay-ms'],
		isPrepared: () => configuration.isLoaded && hostList.hosts.length > 0,
		onDraining() {
			membership.noticePhase();
		},
	});
	const membership: MembershipTask = resources.use(new MembershipTask({
		log: log.part('membership'),
		clock,
		clients,
		membership: new Membership({
			id: settings.daemon.id,
			availabilityZone: settings.daemon['availability-zone'],
			peerUrl: `http://${peerAddress.host}:${peerAddress.port}`,
			incarnation: Date.now(),
			random: new SeededRandom(randomInt(maxSeed)),
		}),
		phase: () => lifecycle.peerPhase,
		async probe(upstream) {
			const host = hostList.hosts.find(({id}) => id === upstream);
			return host === undefined ? 'silent' : probeUpstream(`http://${host.address}`);
		},
	}));
	const directory = new UpstreamDirectory({
		hosts: () => hostList.hosts,
		isLeaving: upstream => membership.isLeaving(upstream),
		leavingVersion: () => membership.leavingVersion,
	});
	const configuration: ConfigurationTask = resources.use(new ConfigurationTask({
		log: log.part('configuration'),
		clock,
		table,
		objects: new HttpObjectStore(settings.platform.objects),
		peers: new PeerConfigurationClient(() => membership.members, clients),
		isPoller: () => membership.isAmongFirst('configuration', configurationPollers),
		onApplied(version) {
			membership.setConfigurationVersion(version);
		},
	}));
	const markLeaving = (origin: string) => {
		const upstream = directory.at(origin);
		if (upstream !== undefined) {
			membership.leavingSeen(upstream.id, true);
		}
	};

	const poolLog = log.part('connections');
	const dispatcher = resources.use(new UpstreamPool(clock, {
		leavingSeen: markLeaving,
		refused: markLeaving,
		silentSeen(origin, closed) {
			poolLog.warn('Silent connections were closed.', {origin, closed});
		},
	}));
	const traces = resources.use(createTraces(settings.daemon.id, settings.traces.endpoint));
	const isReady = () => lifecycle.phase === 'ready';
	const metrics = new Metrics();
	const front = new RequestFront({
		log: log.part('front'),
		clock,
		dispatcher,
		metrics,
		tracer: traces.tracer,
		bodyLimits: {bodyBytes: settings.limits['body-bytes'], budget: new ByteBudget(heldBodyBytes)},
		keys: () => configuration.keys,
		models: () => directory.models,
		upstreams: call => directory.serving(call),
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
		if (lifecycle.phase === 'draining') {
			response.setHeader('connection', 'close');
		}

		void front.handle(request, response);
	});
	const status = new StatusRegistry();
	provideStatus(status, {
		settings, hostList, directory, membership, lifecycle, configuration,
	});
	answerers.resolve({membership, configuration, status});
	hostList.subscribe(hosts => {
		membership.hostsSeen(hosts);
	});
	membership.subscribe(event => {
		if (event.kind === 'version') {
			configuration.noticePeers();
		}
	});
	membership.run();
	hostList.run();
	configuration.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address, peerAddress});
	return {
		address,
		peerAddress,
		isReady,
		drain: async () => lifecycle.drain(server),
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}
