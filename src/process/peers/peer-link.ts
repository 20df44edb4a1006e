import {createSocket, type Socket} from 'node:dgram';
import {parseAddress} from '../address.ts';
import type {CrashNews} from '../crashes/crash-attribution.ts';
import {MessageBuffer} from './message-buffer.ts';
import {createBusyMeter, MessagePace} from './message-pace.ts';
import {PeerLoadTracker} from './peer-load-tracker.ts';
import {PeerDirectory} from './peer-directory.ts';
import type {PeerLinkOptions} from './peer-link-options.ts';
import {
	decodePeerDatagram, encodePeerDatagrams, type PeerDatagram, type PeerLoad, type PeerMessage, type PeerPrefill, type PeerScope,
} from './peer-message.ts';
import {PeerTopology, type PeerMember} from './peer-topology.ts';
import {UsageRelay, withoutUsage} from './usage-relay.ts';

/** Delay in which changes are collected for one message, in milliseconds. */
const batchDelayMs = 12;
/** The same delay when relays forward the messages, in milliseconds. It is longer because each datagram costs every host; prefill of a prompt takes 100 ms or more. */
const relayedBatchDelayMs = 25;
/** Time in which the other daemons hear of a change: the delay of a message, one way through the network, and the time to process it, in milliseconds. */
const directNewsDelayMs = 30;
/** The same through relays, which forward a message twice. */
const relayedNewsDelayMs = 150;
/** Interval at which a daemon sends its whole load, even when idle, in milliseconds. */
const keepAliveIntervalMs = 500;
/** Interval at which a relay forwards what it has received, in milliseconds. */
const relayIntervalMs = 50;
/** Interval at which a relay sends even without messages to forward, in milliseconds, so that its silence shows that it is gone. */
const relayKeepAliveIntervalMs = 100;
/** Maximum number of items of crash news that wait for the next message; those of the latest crashes are kept. */
const maxPendingCrashNews = 100;
/** Fraction of its host's bandwidth that a relay may use; on a slow link it forwards less often. */
const maxRelayLinkFraction = 0.2;
/** Fits one Ethernet frame of 1,500 bytes; longer datagrams are lost on networks that do not reassemble fragments. */
const maxDatagramBytes = 1400;
const bitsPerByte = 8;
const bitsPerMillisecondPerMbps = 1000;

/** Exchanges load, prefills and crashes with the other daemons by datagrams, directly or through relays. */
export class PeerLink implements AsyncDisposable {
	readonly peerLoads = new PeerLoadTracker();
	readonly topology: PeerTopology;
	readonly #options: PeerLinkOptions;
	readonly #directory: PeerDirectory;
	readonly #socket: Socket = createSocket('udp4');
	readonly #ownZoneBuffer = new MessageBuffer();
	readonly #otherZonesBuffer = new MessageBuffer();
	readonly #usageRelay: UsageRelay;
	readonly #pace = new MessagePace(createBusyMeter());
	readonly #changedUpstreams = new Set<string>();
	#pendingPrefills: PeerPrefill[] = [];
	#pendingCrashNews: CrashNews[] = [];
	#hasChangedLimits = false;
	#hasChangedLeaving = false;
	#hasChangedTables = false;
	#isSnapshotDue = false;
	#batchTimer: NodeJS.Timeout | undefined;
	#keepAliveTimer: NodeJS.Timeout | undefined;
	#relayTimer: NodeJS.Timeout | undefined;
	/** Relay in use: the name of a daemon, `self`, or `none` while daemons send to each other directly. */
	#currentRelay = 'none';
	#lastRelayedAt = 0;
	/** Until this time the bandwidth that a relay may use is spent. */
	#relayBudgetFreeAt = 0;
	#isDirectoryRead = false;
	readonly #membersAtStart = Promise.withResolvers<readonly PeerMember[]>();
	#hasPredecessor = true;
	#isClosed = false;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		const {log, self, table, clock} = options;
		this.topology = new PeerTopology(self);
		this.#usageRelay = new UsageRelay(self.daemon);
		this.#directory = new PeerDirectory({
			table,
			log,
			self,
			onMembers: (members, isRegistered) => {
				const isFirst = !this.#isDirectoryRead;
				this.#isDirectoryRead = true;
				this.#hasPredecessor = isFirst ? isRegistered : this.#hasPredecessor;
				for (const member of members) {
					this.topology.add(member, clock.now());
				}

				if (isFirst) {
					this.#membersAtStart.resolve(members);
					// The others answer a daemon that has just started with the crash news that it lacks.
					this.#scheduleSnapshot();
				}
			},
		});
		this.#socket.on('message', bytes => {
			decodePeerDatagram(bytes).caseOf({
				Left(cause) {
					log.write('peers.invalid', {cause});
				},
				Right: datagram => {
					this.#receive(datagram);
				},
			});
		});
		this.#socket.on('error', error => {
			log.write('peers.socketError', {cause: error.message});
		});
	}

	/** Number of daemons that were ever known, including this one; `undefined` until the directory was read. */
	get knownDaemons(): number | undefined {
		return this.#isDirectoryRead ? this.topology.knownDaemons : undefined;
	}

	/** The other daemons that were registered when this one started; resolves once the directory has been read. */
	get membersAtStart(): Promise<readonly PeerMember[]> {
		return this.#membersAtStart.promise;
	}

	/** False once it is known that no earlier process of this daemon has registered. */
	get hasPredecessor(): boolean {
		return this.#hasPredecessor;
	}

	/** Opens the socket and registers this daemon. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#options.self.address);
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, () => {
				this.#socket.off('error', reject);
				resolve();
			});
		});
		this.#keepAliveTimer = setInterval(() => {
			this.#pace.measure();
			this.#sendOwnMessage(this.#options.ownLoads(), true);
			this.#forgetSilent();
		}, keepAliveIntervalMs);
		this.#directory.start();
	}

	/** Schedules a message about the changed load on an upstream. */
	markLoadChanged(upstream: string): void {
		this.#changedUpstreams.add(upstream);
		this.#scheduleSend();
	}

	/** Announces that an upstream starts the prefill of a prompt. */
	announcePrefill(prefill: PeerPrefill): void {
		this.#pendingPrefills.push(prefill);
		this.#scheduleSend();
	}

	/** Announces news about a request that may crash upstreams. */
	announceCrash(news: CrashNews): void {
		this.#pendingCrashNews = [...this.#pendingCrashNews, news].slice(-maxPendingCrashNews);
		this.#scheduleSend();
	}

	/** Schedules a message about the limits of upstreams. */
	announceLimits(): void {
		this.#hasChangedLimits = true;
		this.#scheduleSend();
	}

	/** Schedules a message about the upstreams that are leaving. */
	announceLeaving(): void {
		this.#hasChangedLeaving = true;
		this.#scheduleSend();
	}

	/** Time in which the other daemons hear of a change, in milliseconds. */
	get newsDelayMs(): number {
		return (this.topology.isDirect ? directNewsDelayMs : relayedNewsDelayMs) * this.#pace.stretch;
	}

	/** Schedules a message about the tables, of which this daemon has read a change. */
	announceTables(): void {
		this.#hasChangedTables = true;
		this.#scheduleSend();
	}

	/** Registers again after a delay in milliseconds, because the platform's table was restored from a copy that may lack the entry. */
	storeRestored(delayMs: number): void {
		this.#directory.refreshAfter(delayMs);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#batchTimer);
		clearInterval(this.#keepAliveTimer);
		clearTimeout(this.#relayTimer);
		await this.#directory[Symbol.asyncDispose]();
		this.#socket.close();
	}

	/** Schedules a message that is like a keep-alive. */
	#scheduleSnapshot(): void {
		this.#isSnapshotDue = true;
		this.#scheduleSend();
	}

	#scheduleSend(): void {
		this.#batchTimer ??= setTimeout(() => {
			this.#batchTimer = undefined;
			if (this.#isSnapshotDue) {
				this.#sendOwnMessage(this.#options.ownLoads(), true);
				return;
			}

			const loads = new Map(this.#options.ownLoads().map(load => [load.upstream, load]));
			const changedLoads = [...this.#changedUpstreams].map(upstream => loads.get(upstream) ?? {upstream, runs: 0, tokensByPriority: new Map<number, number>()});
			this.#changedUpstreams.clear();
			this.#sendOwnMessage(changedLoads, false);
		}, (this.topology.isDirect ? batchDelayMs : relayedBatchDelayMs) * this.#pace.stretch);
	}

	#sendOwnMessage(loads: readonly PeerLoad[], isKeepAlive: boolean): void {
		const {self: {daemon, ...entry}, clock, repeatedCrashNews} = this.#options;
		const now = clock.now();
		const message: PeerMessage = {
			daemon,
			entry: isKeepAlive ? entry : undefined,
			isSnapshot: isKeepAlive,
			loads,
			prefills: this.#pendingPrefills,
			queued: this.#options.ownQueuedTokens(),
			excessQueued: this.#options.ownExcessTokens(),
			usage: isKeepAlive ? this.#options.takeUsage() : [],
			crashNews: isKeepAlive ? [...repeatedCrashNews(this.topology.isDirect || this.topology.isRelay(now)), ...this.#pendingCrashNews] : this.#pendingCrashNews,
			limits: isKeepAlive || this.#hasChangedLimits ? this.#options.ownLimits() : [],
			leaving: isKeepAlive || this.#hasChangedLeaving ? this.#options.ownLeaving() : [],
			tables: isKeepAlive || this.#hasChangedTables ? this.#options.ownTables() : [],
			work: isKeepAlive ? this.#options.ownWork() : [],
		};
		this.#pendingPrefills = [];
		this.#pendingCrashNews = [];
		this.#isSnapshotDue = false;
		this.#hasChangedLimits = false;
		this.#hasChangedLeaving = false;
		this.#hasChangedTables = false;
		const targets = this.topology.ownTargets(now);
		this.#setCurrentRelay(this.topology.isDirect ? 'none' : targets[0]?.daemon ?? 'self');
		if (this.topology.isDirect) {
			this.#send('direct', [message], targets);
			return;
		}

		if (this.topology.isRelay(now)) {
			this.#ownZoneBuffer.add(withoutUsage(message), now);
			this.#otherZonesBuffer.add(withoutUsage(message), now);
			this.#usageRelay.add(message.usage, true);
			this.#scheduleRelay();
		}

		const suspectedRelay = isKeepAlive ? this.topology.suspectedRelay(now) : undefined;
		this.#send('own', [message], targets);
		this.#send('own', [withoutUsage(message)], suspectedRelay === undefined ? [] : [suspectedRelay]);
	}

	#setCurrentRelay(relay: string): void {
		if (relay !== this.#currentRelay) {
			this.#options.log.write('peers.relay', {relay, previous: this.#currentRelay});
			this.#currentRelay = relay;
		}
	}

	/** Schedules forwarding for as long as this daemon is a relay. */
	#scheduleRelay(): void {
		this.#relayTimer ??= setTimeout(() => {
			this.#relayTimer = undefined;
			this.#relayBuffered();
			if (!this.#isClosed && this.topology.isRelay(this.#options.clock.now())) {
				this.#scheduleRelay();
			}
		}, relayIntervalMs * this.#pace.stretch);
	}

	/** Forwards the messages received since the last time to the daemons of the own availability zone and to the relays of the other zones. */
	#relayBuffered(): void {
		const now = this.#options.clock.now();
		if (now < this.#relayBudgetFreeAt || !this.topology.isRelay(now)) {
			return;
		}

		if (this.#ownZoneBuffer.size === 0 && this.#otherZonesBuffer.size === 0 && now - this.#lastRelayedAt < relayKeepAliveIntervalMs) {
			return;
		}

		this.#lastRelayedAt = now;
		const bytes = this.#send('final', this.#usageRelay.attachToOwnZone(this.#ownZoneBuffer.takeAll(now), now), this.topology.zoneTargets())
			+ this.#send('zones', this.#usageRelay.attachToOtherZones(this.#otherZonesBuffer.takeAll(now), now), this.topology.otherRelays(now));
		this.#relayBudgetFreeAt = now + ((bytes * bitsPerByte) / (this.#options.self.linkMbps * bitsPerMillisecondPerMbps * maxRelayLinkFraction));
	}

	/** Sends messages to all targets; returns the number of bytes sent. */
	#send(scope: PeerScope, messages: readonly PeerMessage[], targets: readonly PeerMember[]): number {
		if (this.#isClosed || targets.length === 0) {
			return 0;
		}

		const datagrams = encodePeerDatagrams({sender: this.#options.self.daemon, scope, messages}, maxDatagramBytes);
		let bytes = 0;
		for (const {address} of targets) {
			const {host, port} = parseAddress(address);
			for (const datagram of datagrams) {
				bytes += datagram.length;
				this.#socket.send(datagram, port, host, error => {
					if (error !== null && !this.#isClosed) {
						this.#options.log.write('peers.notSent', {address, cause: error.message});
					}
				});
			}
		}

		return bytes;
	}

	#receive({sender, scope, messages}: PeerDatagram): void {
		const now = this.#options.clock.now();
		const ownName = this.#options.self.daemon;
		for (const message of messages.filter(({daemon}) => daemon !== ownName)) {
			this.#applyMessage(message, now);
			if (this.topology.forwardsWithinZone(scope)) {
				this.#ownZoneBuffer.add(withoutUsage(message), now);
				this.#usageRelay.add(message.usage, this.topology.forwardsToOtherZones(scope));
			}

			if (this.topology.forwardsToOtherZones(scope)) {
				this.#otherZonesBuffer.add(withoutUsage(message), now);
			}
		}

		if (sender !== ownName) {
			this.topology.recordDatagram(sender, scope, now);
		}

		if (this.topology.forwardsWithinZone(scope)) {
			this.#scheduleRelay();
		}
	}

	#applyMessage(message: PeerMessage, now: number): void {
		const {daemon, entry} = message;
		if (this.peerLoads.apply(message, now)) {
			this.#options.log.write('peers.seen', {peer: daemon, address: entry?.address});
			if (this.#options.repeatedCrashNews(true).length > 0) {
				this.#scheduleSnapshot();
			}
		}

		if (entry !== undefined) {
			this.topology.add({daemon, ...entry}, now);
		}

		this.topology.recordMessage(daemon, now);
		this.#options.onPrefills(message.prefills);
		for (const news of message.crashNews) {
			this.#options.onCrashNews(news);
		}

		if (message.usage.length > 0) {
			this.#options.onUsage(message.usage);
		}

		if (message.limits.length > 0) {
			this.#options.onLimits(daemon, message.limits);
		}

		if (message.leaving.length > 0) {
			this.#options.onLeaving(daemon, message.leaving);
		}

		if (message.tables.length > 0) {
			this.#options.onTables(daemon, message.tables);
		}

		if (message.work.length > 0) {
			this.#options.onWork(daemon, message.work);
		}
	}

	#forgetSilent(): void {
		for (const {daemon, silentMs} of this.topology.forgetSilent(this.#options.clock.now())) {
			this.peerLoads.forget(daemon);
			this.#options.log.write('peers.lost', {peer: daemon, silentMs: Math.round(silentMs)});
		}
	}
}
