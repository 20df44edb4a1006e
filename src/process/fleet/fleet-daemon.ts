import type {Server, ServerResponse} from 'node:http';
import type {Either} from 'purify-ts';
import {
	closeIdleConnections, createCallerServer, setMaxHeaderSize, stopListening,
} from '../../connection/caller-server.ts';
import type {CallerLimit} from '../../connection/caller-connection.ts';
import {limitConnections, limitOpenRequests} from '../../connection/connection-limits.ts';
import {closeAbruptly, listen} from '../../connection/http-listener.ts';
import {UpstreamClients} from '../../connection/links/upstream-clients.ts';
import {refusesConnections} from '../../connection/refusal-probe.ts';
import {fetchKnowledge, serveKnowledge} from '../../connection/knowledge-exchange.ts';
import {serveSharedRows} from '../../connection/row-exchange.ts';
import {createSideServer} from '../../connection/side-server.ts';
import type {CallerProtocol} from '../../ports/caller-protocol.ts';
import type {PlatformDuties} from '../../ports/platform-duties.ts';
import type {RowFeed} from '../../ports/row-feed.ts';
import type {Table} from '../../ports/table.ts';
import type {UpstreamProtocol} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {CallerBudget} from '../../request/caller-budget.ts';
import type {FleetSettings} from '../../version/fleet-settings.ts';
import {parseAddress} from '../address.ts';
import {AccountUsage} from '../accounts/account-usage.ts';
import {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import {CallerLimits} from '../caller-limits.ts';
import {SuspendAwareClock, SystemClock} from '../clock.ts';
import {CrashMemoryTask} from '../crashes/crash-memory-task.ts';
import {CrashMonitor} from '../crashes/crash-monitor.ts';
import type {FleetDuties} from '../duties/fleet-duties.ts';
import {wireDuties} from '../duties/wire-duties.ts';
import {LeaseTask} from '../lease/lease-task.ts';
import {Log} from '../log.ts';
import {SeededRandom} from '../random.ts';
import {formatError} from '../uncaught-errors.ts';
import {PeerLink} from '../peers/peer-link.ts';
import {maxReportedAccounts} from '../peers/usage-relay.ts';
import type {StoreEpoch} from '../tables/store-epoch.ts';
import type {UpstreamStart} from '../peers/peer-message.ts';
import {createPoolController, createPoolDuty, type PoolDuty} from '../pool/create-pool-controller.ts';
import type {PoolController} from '../pool/pool-controller.ts';
import {WorkRates} from '../pool/work-rates.ts';
import {createControllerTimes, StageController, type StageGroup} from '../stages/stage-controller.ts';
import {ConfigurationHolder, type ConfigurationDecoder} from './configuration-holder.ts';
import type {DecisionLog} from './decision-log.ts';
import {FleetScheduler} from './fleet-scheduler.ts';
import {FleetTables} from './fleet-tables.ts';
import {inheritKnowledge, type Knowledge} from './inheritance.ts';
import {FleetMetrics} from './fleet-metrics.ts';
import {SharedRetryBudget, type RetryBounds} from './shared-retry-budget.ts';
import {RouteCrashes} from './route-crashes.ts';
import {RouteDurations} from './route-durations.ts';
import {RouteRequestHandler} from './route-request-handler.ts';
import {Shutdown} from './shutdown.ts';
import {createStopTimes} from './stop-schedule.ts';
import {UpstreamRegistry, type RegistryEvent} from './upstream-registry.ts';

/** Access to the operator's platform. */
export type Platform = {
	/** Epoch of the store, as all calls to it show it. */
	readonly epoch: StoreEpoch;
	readonly feed: RowFeed;
	readonly table: Table;
	readonly callerProtocol: CallerProtocol;
	readonly upstreamProtocol: UpstreamProtocol;
	/** Undefined if the platform expects no calls of duties. */
	readonly duties: PlatformDuties | undefined;
	readonly tables: {readonly operator: string; readonly upstreams: string};
	readonly configurationKey: string;
	readonly decodeConfiguration: ConfigurationDecoder;
	readonly decodeUpstream: (id: string, value: Uint8Array | undefined) => Either<string, Upstream>;
};

/** Dependencies of the daemon. */
export type FleetDaemonOptions = {
	readonly settings: FleetSettings;
	readonly platform: Platform;
	readonly log: DecisionLog;
	/** Seed of the random decisions. */
	readonly seed: number;
	/** Calls to the platform by which upstreams are ordered; by default those of the platform, under the lease of duties. */
	readonly poolDuty?: PoolDuty;
};

const housekeepingIntervalMs = 250;
/** Time within which all daemons register again after a restore of the store, in milliseconds. */
const registrationSpreadMs = 2000;
/** Requests per second that one slot of an engine decodes, for answers that take a second. */
const decodesPerSlotPerSecond = 1;
const maxHeaderBytes = 64 * 1024;
/** Added to the configured limit on the head of a request, in bytes. */
const headerMarginBytes = 1024;
/** Added to the configured timeouts of caller connections. */
const idleMarginMs = 2000;
/** Time without a byte after which a body is refused until a configuration has been received. */
const defaultIdleTimeoutMs = 15_000;
const mebibyte = 1024 * 1024;
/** Fraction of the host's memory that request bodies may use. */
const bodyMemoryFraction = 0.2;
/** Fraction of the host's memory that answers may use which callers have not taken. */
const unsentMemoryFraction = 0.1;
/** The same for each of the servers that are not for callers. */
const sideMemoryFraction = 0.05;
/** Fraction of the host's memory that answers may use while they are collected. */
const answerMemoryFraction = 0.1;

/** One daemon on the operator's platform. */
export class FleetDaemon implements AsyncDisposable {
	readonly #options: FleetDaemonOptions;
	readonly #clock = new SystemClock();
	/** Clock of leases and of the age of table copies; a lease and the checks against it must use the same one. */
	readonly #suspendAwareClock = new SuspendAwareClock();
	readonly #random: SeededRandom;
	readonly #registry = new UpstreamRegistry();
	readonly #configuration: ConfigurationHolder;
	readonly #backpressure: UpstreamBackpressure;
	readonly #upstreamClients: UpstreamClients;
	readonly #retryBudget: SharedRetryBudget;
	readonly #scheduler: FleetScheduler;
	readonly #requestHandler: RouteRequestHandler;
	readonly #shutdown: Shutdown;
	readonly #peers: PeerLink;
	readonly #accountUsage = new AccountUsage();
	readonly #crashes: CrashMonitor;
	readonly #crashMemory: CrashMemoryTask;
	readonly #lease: LeaseTask;
	readonly #controller: StageController;
	readonly #duties: FleetDuties;
	readonly #metrics = new FleetMetrics();
	readonly #tables: FleetTables;
	/** Work that arrives at all daemons for the services whose number of upstreams is ordered. */
	readonly #workRates: WorkRates;
	readonly #pool: PoolController | undefined;
	readonly #callerServer: Server;
	readonly #readinessServer: Server;
	readonly #metricsServer: Server;
	/** Gives rows of the platform's tables to the other daemons. */
	readonly #rowServer: Server;
	readonly #bodyBudget: CallerBudget;
	readonly #callerLimits: CallerLimits;
	#housekeepingTimer: NodeJS.Timeout | undefined;
	/** True once the other daemons were asked for what the store may lack. */
	#hasInherited = false;

	constructor(options: FleetDaemonOptions) {
		this.#options = options;
		const {settings, platform, log, seed} = options;
		this.#random = new SeededRandom(seed);
		this.#configuration = new ConfigurationHolder(platform.configurationKey, platform.decodeConfiguration, log);
		this.#bodyBudget = new CallerBudget(settings.limits.memoryMb * mebibyte * bodyMemoryFraction);
		this.#callerLimits = new CallerLimits({
			count: limit => {
				this.#metrics.callerLimited(limit);
			},
			log(counts) {
				log.write('callers.limited', counts);
			},
		});
		const clock = this.#clock;
		this.#workRates = new WorkRates(clock.now());
		this.#backpressure = new UpstreamBackpressure({
			clock,
			random: this.#random,
			isServing: upstream => this.#registry.get(upstream) !== undefined,
			newsDelayMs: () => this.#peers.newsDelayMs,
			onChanged: () => {
				this.#peers.announceLimits();
			},
			onLeaving: upstream => {
				this.#markLeaving([{id: upstream, startedAt: this.#registry.get(upstream)?.startedAt}], 'answer');
			},
			report(event, fields) {
				log.write(event, fields);
			},
		});
		this.#upstreamClients = new UpstreamClients(clock, {
			answerBudgetBytes: settings.limits.memoryMb * mebibyte * answerMemoryFraction,
			observeLimit: ({id}, limit, cause) => {
				this.#metrics.answerGivenUp(limit);
				log.write('answer.givenUp', {upstream: id, limit, cause});
			},
			observeHead: (upstream, status, headers, startedAt) => {
				const backpressure = platform.upstreamProtocol.decodeBackpressure(status, headers);
				// What an upstream asks for ends with its process.
				const isSameStart = this.#registry.get(upstream.id)?.startedAt === upstream.startedAt;
				if (backpressure !== undefined && isSameStart) {
					this.#backpressure.hear(upstream.id, backpressure, startedAt);
				}
			},
		});
		this.#crashes = new CrashMonitor({
			clock,
			announce: news => {
				this.#peers.announceCrash(news);
			},
			refusesConnections,
			isServing: upstream => this.#registry.get(upstream) !== undefined,
			report(event, fields) {
				log.write(event, fields);
			},
		});
		this.#peers = new PeerLink({
			clock,
			log,
			table: platform.table,
			self: {
				daemon: settings.daemon.name,
				address: `${settings.daemon.host}:${settings.listen.peerPort}`,
				availabilityZone: settings.daemon.availabilityZone,
				linkMbps: settings.limits.linkMbps,
			},
			ownLoads: () => this.#scheduler.loads(),
			ownQueuedTokens: () => this.#scheduler.queuedTokens(),
			ownExcessTokens: () => this.#scheduler.excessTokens(),
			takeUsage: () => this.#accountUsage.takeUnreported(maxReportedAccounts),
			onUsage: works => {
				this.#accountUsage.addReported(works, clock.now());
			},
			onPrefills: prefills => {
				this.#scheduler.acceptPrefills(prefills);
			},
			onCrashNews: news => {
				this.#crashes.applyNews(news);
			},
			repeatedCrashNews: isRelay => this.#crashes.repeatNews(isRelay),
			ownLimits: () => this.#backpressure.announcements(),
			onLimits: (daemon, limits) => {
				this.#backpressure.applyPeer(daemon, limits);
			},
			ownLeaving: () => this.#registry.leaving(),
			onLeaving: (daemon, upstreams) => {
				this.#markLeaving(upstreams, daemon);
			},
			ownTables: () => this.#tables.announcements,
			onTables: (daemon, announcements) => {
				this.#tables.accept(daemon, announcements);
			},
			ownWork: () => this.#scheduler.work(),
			onWork: (daemon, work) => {
				this.#workRates.hear(daemon, work, clock.now());
			},
		});
		this.#crashMemory = new CrashMemoryTask({
			log: createTaskLog(log, 'crashes'),
			table: platform.table,
			clock,
			monitor: this.#crashes,
			rank: () => this.#peers.topology.relayRank(clock.now()),
			// Datagrams repeat the news to daemons that miss it.
			readIntervalMs: Number.POSITIVE_INFINITY,
			now: () => Date.now(),
		});
		this.#scheduler = new FleetScheduler({
			clock,
			random: this.#random,
			log,
			registry: this.#registry,
			backpressure: this.#backpressure,
			peers: {
				peerLoads: this.#peers.peerLoads,
				markLoadChanged: upstream => {
					this.#peers.markLoadChanged(upstream);
				},
				announcePrefill: prefill => {
					this.#peers.announcePrefill(prefill);
				},
				newsDelayMs: () => this.#peers.newsDelayMs,
			},
			accountUsage: this.#accountUsage,
			availabilityZone: settings.daemon.availabilityZone,
			services: () => this.#configuration.routeTable?.services ?? new Map(),
			onUpstreamDown: (upstream, evidence) => {
				this.#crashes.upstreamDown(upstream, evidence);
			},
			onPrefillEnded: (work, elapsedMs, predictedMs) => {
				this.#metrics.prefillEnded(work, elapsedMs, predictedMs);
			},
			onAnswerEnded: this.#metrics.answerEnded.bind(this.#metrics),
		});
		this.#duties = wireDuties({
			settings,
			platform,
			log,
			taskLog: createTaskLog(log, 'lease'),
			clock,
			suspendAwareClock: this.#suspendAwareClock,
			topology: this.#peers.topology,
			metrics: this.#metrics,
		});
		const startedAt = clock.now();
		this.#retryBudget = new SharedRetryBudget(toRetryBounds(settings.bounds), () => this.#peers.knownDaemons, () => this.#peers.hasPredecessor ? startedAt : undefined);
		const dependencies = {
			clock,
			upstreamClients: this.#upstreamClients,
			protocol: platform.upstreamProtocol,
			scheduler: this.#scheduler,
			backpressure: this.#backpressure,
			retryBudget: this.#retryBudget,
			crashes: new RouteCrashes(this.#crashes, this.#registry),
			usage: this.#duties.usage,
			log,
		};
		this.#requestHandler = new RouteRequestHandler({
			dependencies,
			protocol: platform.callerProtocol,
			random: this.#random,
			metrics: this.#metrics,
			routeTable: () => this.#configuration.routeTable,
			accounts: () => this.#configuration.accounts,
			isConfigurationCurrent: () => this.#tables.isConfigurationConfirmed,
			shutdown: () => this.#shutdown,
			durations: new RouteDurations(),
			bodyBudget: this.#bodyBudget,
			openRequestLimit: limitOpenRequests(settings.limits.maxDescriptors),
			onLimited: limit => {
				this.#callerLimits.note(limit);
			},
		});
		this.#shutdown = new Shutdown(clock, log, createStopTimes(settings.bounds.graceMs), this.#requestHandler);
		const leaseClock = this.#suspendAwareClock;
		this.#lease = new LeaseTask({
			log: createTaskLog(log, 'lease'), table: platform.table, clock: leaseClock, daemon: settings.daemon.name, group: 'stages',
		});
		this.#controller = new StageController({
			clock: leaseClock,
			log,
			upstreamClients: this.#upstreamClients,
			backpressure: this.#backpressure,
			protocol: platform.upstreamProtocol,
			lease: {
				held: () => this.#lease.held,
				setCandidate: isCandidate => {
					this.#lease.post({kind: 'candidacy', isCandidate});
				},
			},
			daemon: settings.daemon.name,
			groups: () => this.#stageGroups(),
			rank: () => this.#peers.topology.relayRank(this.#clock.now()),
			times: createControllerTimes(settings.bounds.leaseMs),
			onOrdered: upstream => {
				this.#scheduler.stageChangeOrdered(upstream);
			},
		});
		const poolDuty = options.poolDuty ?? createPoolDuty(platform.duties, this.#duties.lease);
		this.#pool = poolDuty === undefined
			? undefined
			: createPoolController({
				duty: poolDuty,
				clock,
				log,
				metrics: this.#metrics.registry,
				workRates: this.#workRates,
				registry: this.#registry,
				scheduler: this.#scheduler,
				services: () => this.#configuration.routeTable?.services ?? new Map(),
			});
		this.#tables = new FleetTables({
			platform,
			bounds: settings.bounds,
			log,
			random: this.#random,
			clock,
			suspendAwareClock: this.#suspendAwareClock,
			configuration: this.#configuration,
			registry: this.#registry,
			peers: this.#peers,
			onConfiguration: () => {
				this.#applyConfiguration();
			},
			onRegistryEvents: events => {
				this.#applyRegistryEvents(events);
			},
		});
		platform.epoch.listen({
			onRestored: ({before, after}) => {
				log.write('store.restored', {epochBefore: before, epoch: after});
				this.#tables.noteEpoch(after);
				this.#crashMemory.storeRestored();
				this.#peers.storeRestored(this.#random.next() * registrationSpreadMs);
			},
			onUnusable(value) {
				log.write('store.epochUnusable', {value, epoch: platform.epoch.current});
			},
		});
		const memoryBytes = settings.limits.memoryMb * mebibyte;
		const onLimited = (limit: CallerLimit) => {
			this.#callerLimits.note(limit);
		};

		this.#callerServer = createCallerServer({
			maxHeaderBytes,
			maxConnections: limitConnections(memoryBytes, settings.limits.maxDescriptors),
			maxUnsentBytes: memoryBytes * unsentMemoryFraction,
			refuse: (request, response) => {
				this.#requestHandler.refuseExcess(request, response);
			},
			onLimited,
			onClosed: connection => {
				this.#requestHandler.connectionClosed(connection);
			},
		}, (request, response) => {
			void this.#requestHandler.handle(request, response);
		});
		const sideOptions = {maxUnsentBytes: memoryBytes * sideMemoryFraction, onLimited};
		this.#readinessServer = createSideServer(sideOptions, (request, response) => {
			const isReadinessPath = platform.callerProtocol.isReadinessPath(request.url ?? '/');
			response.statusCode = isReadinessPath ? (this.isReady ? 200 : 503) : 404;
			response.end();
		});
		this.#metricsServer = createSideServer(sideOptions, (_request, response) => {
			void this.#sendMetrics(response);
		});
		this.#rowServer = createSideServer(sideOptions, (request, response) => {
			const isServed = serveKnowledge(request, response, () => ({configuration: this.#configuration.activeValue, pastEntries: this.#registry.pastEntries()}));
			if (!isServed && !this.#duties.serve(request, response)) {
				serveSharedRows(request, response, (table, after) => this.#tables.share(table, after));
			}
		});
		this.#metrics.addGauges({
			openRequests: () => this.#requestHandler.openRequests,
			upstreams: () => this.#registry.size,
			connectionsOpened: () => this.#upstreamClients.openedCount,
			limitedUpstreams: () => this.#backpressure.limitCount,
			pausedUpstreams: () => this.#backpressure.pauseCount,
			configurationVersion: () => this.#configuration.routeTable?.version ?? 0,
			excessTokens: () => [...this.#scheduler.excessTokens().values()].reduce((sum, tokens) => sum + tokens, 0),
			droppedLogLines: () => log.droppedLines,
			droppedRows: () => this.#tables.droppedRows,
			storeEpoch: () => platform.epoch.current ?? 0,
			storeRestores: () => platform.epoch.restores,
			unusableEpochs: () => platform.epoch.unusable,
			heldBodyBytes: () => this.#bodyBudget.heldBytes,
		});
	}

	/** True while the daemon accepts new connections. */
	get isReady(): boolean {
		return this.#configuration.routeTable !== undefined && this.#tables.hasUpstreamList && this.#hasInherited && !this.#shutdown.hasStarted;
	}

	/** Opens the sockets and starts to watch the platform's tables. */
	async start(): Promise<void> {
		const {settings: {daemon, listen: addresses}, log} = this.#options;
		log.write('process.started', {availabilityZone: daemon.availabilityZone, callers: addresses.callers});
		this.#tables.start();

		await listen(this.#callerServer, parseAddress(addresses.callers));
		await listen(this.#readinessServer, parseAddress(addresses.readiness));
		await listen(this.#metricsServer, {host: daemon.host, port: addresses.metricsPort});
		await listen(this.#rowServer, {host: daemon.host, port: addresses.peerPort});
		this.#housekeepingTimer = setInterval(() => {
			this.#upstreamClients.closeExpired();
			this.#checkCallers();
			this.#applyRegistryEvents(this.#registry.expire(this.#clock.now()));
			this.#duties.tick();
			if (this.isReady) {
				this.#controller.tick();
				this.#workRates.hear(daemon.name, this.#scheduler.work(), this.#clock.now(), true);
				this.#pool?.tick();
			}
		}, housekeepingIntervalMs);
		this.#crashMemory.run();
		await this.#peers.start();
		this.#lease.run();
		this.#duties.run();
		void this.#inherit();
	}

	/** Applies changed settings: the bounds of retries and tables take effect at once, all others at the next start. */
	reload(settings: FleetSettings): void {
		const {bounds} = settings;
		this.#retryBudget.setBounds(toRetryBounds(bounds));
		this.#tables.setBounds(bounds);
		const {bounds: current, ...others} = this.#options.settings;
		const isRestartNeeded = JSON.stringify({...settings, bounds: undefined}) !== JSON.stringify({...others, bounds: undefined})
			|| bounds.graceMs !== current.graceMs || bounds.leaseMs !== current.leaseMs;
		this.#options.log.write('process.reload', {retryRatio: bounds.retryRatio, retrySlack: bounds.retrySlack, isRestartNeeded});
	}

	/** Logs an uncaught error with the requests in flight, which a graceful shutdown still answers. */
	recordFailure(error: unknown): void {
		const {openRequests, openRequestIds} = this.#requestHandler;
		this.#options.log.write('process.failed', {cause: formatError(error), openRequests, requests: openRequestIds});
	}

	/** Shuts down gracefully; resolves when the process may exit. */
	async stop(): Promise<void> {
		this.#controller.resign();
		void this.#duties.resign();
		await this.#shutdown.run();
		await stopListening(this.#callerServer, {deadlineAt: this.#shutdown.exitAt});
		// Answers requests that were in transit when the listener closed.
		await this.#shutdown.waitForLateRequests();
		await closeIdleConnections(this.#callerServer, this.#shutdown.exitAt);
		this.#shutdown.logEnd();
		await this.#options.log.flush(100);
		await this.#shutdown.waitForRefusals();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#housekeepingTimer);
		await this.#peers[Symbol.asyncDispose]();
		await this.#lease[Symbol.asyncDispose]();
		await this.#duties[Symbol.asyncDispose]();
		await this.#crashMemory[Symbol.asyncDispose]();
		await this.#options.platform.table[Symbol.asyncDispose]();
		await this.#options.platform.feed[Symbol.asyncDispose]();
		await this.#options.platform.duties?.[Symbol.asyncDispose]();
		await this.#tables[Symbol.asyncDispose]();
		await Promise.all([this.#callerServer, this.#readinessServer, this.#metricsServer, this.#rowServer].map(async server => closeAbruptly(server)));
		await this.#upstreamClients[Symbol.asyncDispose]();
	}

	async #sendMetrics(response: ServerResponse): Promise<void> {
		const {contentType, text} = await this.#metrics.format();
		response.setHeader('content-type', contentType);
		response.end(text);
	}

	async #inherit(): Promise<void> {
		const {settings: {daemon}, log} = this.#options;
		try {
			await inheritKnowledge({
				log,
				availabilityZone: daemon.availabilityZone,
				members: this.#peers.membersAtStart,
				fetch: fetchKnowledge,
				apply: (knowledge, peer) => {
					this.#applyKnowledge(knowledge, peer);
				},
			});
		} catch (error) {
			log.write('start.notInherited', {cause: formatError(error)});
		} finally {
			this.#hasInherited = true;
		}
	}

	#applyKnowledge({configuration, pastEntries}: Knowledge, peer: string): void {
		const before = this.#configuration.routeTable?.version;
		if (configuration !== undefined) {
			this.#configuration.inherit(configuration);
			this.#applyConfiguration();
		}

		const events = this.#registry.inherit(pastEntries, this.#clock.now());
		this.#options.log.write('start.inherited', {
			peer, configurationBefore: before, configuration: this.#configuration.routeTable?.version, pastEntries: pastEntries.length, upstreams: events.map(({upstream}) => upstream.id),
		});
		this.#applyRegistryEvents(events);
	}

	#stageGroups(): readonly StageGroup[] {
		const services = [...this.#configuration.routeTable?.services.values() ?? []];
		return services.flatMap(({name, engine}) => engine === undefined
			? []
			: [this.#createStageGroup(name, engine.slots)]);
	}

	#createStageGroup(service: string, slots: number): StageGroup {
		const upstreams = this.#registry.serving(service);
		const limited = upstreams.filter(({id}) => this.#backpressure.requestsPerSecond(id) < slots * decodesPerSlotPerSecond);
		return {
			service, upstreams, limited: new Set(limited.map(({id}) => id)), demand: this.#scheduler.measureDemand(service, slots),
		};
	}

	#checkCallers(): void {
		// A body may have begun under an earlier configuration with a longer time-out.
		const idleTimeoutMs = Math.max(defaultIdleTimeoutMs, this.#configuration.routeTable?.limits.idleTimeoutMs ?? 0);
		const now = this.#clock.now();
		this.#bodyBudget.refuseStalled(now, idleTimeoutMs + idleMarginMs);
		this.#callerLimits.report(now);
	}

	#applyConfiguration(): void {
		this.#requestHandler.applyAccounts();
		const limits = this.#configuration.routeTable?.limits;
		if (limits !== undefined) {
			this.#callerServer.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
			this.#callerServer.headersTimeout = limits.headerTimeoutMs + idleMarginMs;
			setMaxHeaderSize(this.#callerServer, limits.headerBytes + headerMarginBytes);
		}
	}

	/** Gives upstreams no new work that have said that they are leaving, to this daemon or to another one. */
	#markLeaving(upstreams: readonly UpstreamStart[], source: string): void {
		const events = upstreams.flatMap(({id, startedAt}) => this.#registry.markLeaving(id, startedAt));
		if (events.length > 0) {
			this.#options.log.write('upstream.announcedLeaving', {upstreams: events.map(({upstream}) => upstream.id), source});
			this.#applyRegistryEvents(events);
			this.#peers.announceLeaving();
		}
	}

	#applyRegistryEvents(events: readonly RegistryEvent[]): void {
		for (const {kind, upstream} of events) {
			this.#options.log.write(`upstream.${kind}`, {
				upstream: upstream.id, service: upstream.service, address: upstream.address, availabilityZone: upstream.availabilityZone, stage: upstream.stage, heartbeat: upstream.heartbeatCount,
			});
			if (kind === 'gone' || kind === 'restarted') {
				this.#backpressure.forget(upstream.id);
				this.#crashes.upstreamDown(upstream.id, kind);
			}

			if (kind === 'gone') {
				this.#upstreamClients.closeIdle(upstream.id);
				this.#scheduler.forget(upstream.id);
			} else {
				this.#scheduler.update(upstream);
			}
		}
	}
}

function toRetryBounds({retryRatio, retrySlack, retryWindowMs}: FleetSettings['bounds']): RetryBounds {
	return {ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs};
}

/** Forwards the log lines of tasks to the decision log. */
function createTaskLog(log: DecisionLog, component: string): Log {
	const write = (message: string, fields: Readonly<Record<string, unknown>>) => {
		log.write('task', {message, ...fields});
	};

	return new Log({
		debug() {
			// Debug lines are only used by the tests of tasks.
		},
		info: write,
		warn: write,
		error(message, error, fields) {
			write(message, {...fields, cause: error.message});
		},
	}, component);
}
