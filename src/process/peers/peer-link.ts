import {createSocket, type Socket} from 'node:dgram';
import type {Table} from '../../ports/table.ts';
import {parseAddress} from '../address.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import {MessageBuffer} from './message-buffer.ts';
import {PeerBoard} from './peer-board.ts';
import {PeerDirectory} from './peer-directory.ts';
import {
	decodePeerDatagram, encodePeerDatagrams, type PeerCrash, type PeerDatagram, type PeerLoad, type PeerMessage, type PeerReading, type PeerScope,
} from './peer-message.ts';
import {PeerTopology, type PeerMember} from './peer-topology.ts';

/** What the link needs. */
export type PeerLinkOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly table: Table;
	/** This daemon, with the address of its datagrams. */
	readonly self: PeerMember;
	/** This daemon's own load on all upstreams with work. */
	readonly loads: () => readonly PeerLoad[];
	/** Prompt tokens that wait at this daemon, by priority. */
	readonly queued: () => ReadonlyMap<number, number>;
	/** The others' load has changed. */
	readonly onLoads: () => void;
	readonly onReadings: (readings: readonly PeerReading[]) => void;
	readonly onCrashes: (crashes: readonly PeerCrash[]) => void;
};

/** Changes within this time go out together, in milliseconds. */
const gatherMs = 12;
/** The same where relays pass them on: each datagram costs every host, and a prompt is read in a hundred milliseconds or more. */
const relayedGatherMs = 25;
/** An idle daemon is heard so often. */
const keepAliveMs = 500;
/** A relay passes on what it has heard so often, in milliseconds. */
const relayMs = 50;
/** A relay without news still sends so often, so that its silence shows that it is gone. */
const relayKeepAliveMs = 100;
/** Part of its host's link that a relay may fill; on a narrow link it gathers for longer. */
const relayLinkShare = 0.2;
/** Fits one Ethernet frame of 1,500 bytes; longer datagrams are lost on networks that do not put fragments together. */
const datagramLimitBytes = 1400;
const bitsPerByte = 8;
const bitsPerMegabitMs = 1000;

/** Tells the other daemons of load and prompts by datagrams, directly or by relays. */
export class PeerLink implements AsyncDisposable {
	readonly board = new PeerBoard();
	readonly topology: PeerTopology;
	readonly #options: PeerLinkOptions;
	readonly #directory: PeerDirectory;
	readonly #socket: Socket = createSocket('udp4');
	readonly #ownZone = new MessageBuffer();
	readonly #otherZones = new MessageBuffer();
	readonly #changed = new Set<string>();
	#readings: PeerReading[] = [];
	#crashes: PeerCrash[] = [];
	#timer: NodeJS.Timeout | undefined;
	#keepAlive: NodeJS.Timeout | undefined;
	#relay: NodeJS.Timeout | undefined;
	/** Relay that is used: a daemon, `self`, or `none` while daemons tell each other directly. */
	#usedRelay = 'none';
	#relayedAt = 0;
	/** Before this time the relay's share of the link is used up. */
	#relayFreeAt = 0;
	#isDirectoryRead = false;
	#isClosed = false;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		const {log, self, table, clock} = options;
		this.topology = new PeerTopology(self);
		this.#directory = new PeerDirectory({
			table,
			log,
			self,
			onMembers: members => {
				this.#isDirectoryRead = true;
				for (const member of members) {
					this.topology.add(member, clock.now());
				}
			},
		});
		this.#socket.on('message', bytes => {
			decodePeerDatagram(bytes).caseOf({
				Left(cause) {
					log.write('peers.invalid', {cause});
				},
				Right: datagram => {
					this.#accept(datagram);
				},
			});
		});
		this.#socket.on('error', error => {
			log.write('peers.socketError', {cause: error.message});
		});
	}

	/** Daemons that were ever known, this one included; undefined until the directory was read. */
	get knownDaemons(): number | undefined {
		return this.#isDirectoryRead ? this.topology.knownDaemons : undefined;
	}

	/** Opens the socket and makes this daemon known. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#options.self.address);
		await new Promise<void>(resolve => {
			this.#socket.bind(port, host, resolve);
		});
		this.#keepAlive = setInterval(() => {
			this.#sendOwn(this.#options.loads(), true);
			this.#forgetSilent();
		}, keepAliveMs);
		this.#directory.start();
	}

	/** Notes that the load on an upstream has changed. */
	changed(upstream: string): void {
		this.#changed.add(upstream);
		this.#schedule();
	}

	/** Tells that an upstream begins to read a prompt. */
	tellReading(reading: PeerReading): void {
		this.#readings.push(reading);
		this.#schedule();
	}

	/** Tells that an upstream crashed while it ran a request. */
	tellCrash(crash: PeerCrash): void {
		this.#crashes.push(crash);
		this.#schedule();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		clearInterval(this.#keepAlive);
		clearTimeout(this.#relay);
		await this.#directory[Symbol.asyncDispose]();
		this.#socket.close();
	}

	#schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			const loads = new Map(this.#options.loads().map(load => [load.upstream, load]));
			const told = [...this.#changed].map(upstream => loads.get(upstream) ?? {upstream, runs: 0, tokensByPriority: new Map<number, number>()});
			this.#changed.clear();
			this.#sendOwn(told, false);
		}, this.topology.isDirect ? gatherMs : relayedGatherMs);
	}

	#sendOwn(loads: readonly PeerLoad[], isKeepAlive: boolean): void {
		const {self: {daemon, ...entry}, clock} = this.#options;
		const now = clock.now();
		const message: PeerMessage = {
			daemon, entry: isKeepAlive ? entry : undefined, isWhole: isKeepAlive, loads, readings: this.#readings, queued: this.#options.queued(), crashes: this.#crashes,
		};
		this.#readings = [];
		this.#crashes = [];
		const targets = this.topology.ownTargets(now);
		this.#noteRelay(this.topology.isDirect ? 'none' : targets[0]?.daemon ?? 'self');
		if (this.topology.isDirect) {
			this.#send('direct', [message], targets);
			return;
		}

		if (this.topology.isRelay(now)) {
			this.#ownZone.add(message);
			this.#otherZones.add(message);
			this.#scheduleRelay();
		}

		const suspected = isKeepAlive ? this.topology.suspectedRelay(now) : undefined;
		this.#send('own', [message], [...targets, ...suspected === undefined ? [] : [suspected]]);
	}

	#noteRelay(used: string): void {
		if (used !== this.#usedRelay) {
			this.#options.log.write('peers.relay', {relay: used, previous: this.#usedRelay});
			this.#usedRelay = used;
		}
	}

	/** A daemon that is no relay any more stops with the next time. */
	#scheduleRelay(): void {
		this.#relay ??= setTimeout(() => {
			this.#relay = undefined;
			this.#passOn();
			if (!this.#isClosed && this.topology.isRelay(this.#options.clock.now())) {
				this.#scheduleRelay();
			}
		}, relayMs);
	}

	/** Tells the daemons of the own availability zone and the relays of the others what came in since the last time. */
	#passOn(): void {
		const now = this.#options.clock.now();
		if (now < this.#relayFreeAt || !this.topology.isRelay(now)) {
			return;
		}

		if (this.#ownZone.size === 0 && this.#otherZones.size === 0 && now - this.#relayedAt < relayKeepAliveMs) {
			return;
		}

		this.#relayedAt = now;
		const bytes = this.#send('final', this.#ownZone.take(), this.topology.zoneTargets())
			+ this.#send('zones', this.#otherZones.take(), this.topology.otherRelays(now));
		this.#relayFreeAt = now + ((bytes * bitsPerByte) / (this.#options.self.linkMbps * bitsPerMegabitMs * relayLinkShare));
	}

	/** Returns the bytes sent. */
	#send(scope: PeerScope, messages: readonly PeerMessage[], targets: readonly PeerMember[]): number {
		if (this.#isClosed || targets.length === 0) {
			return 0;
		}

		const datagrams = encodePeerDatagrams({sender: this.#options.self.daemon, scope, messages}, datagramLimitBytes);
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

	#accept({sender, scope, messages}: PeerDatagram): void {
		const now = this.#options.clock.now();
		const own = this.#options.self.daemon;
		for (const message of messages.filter(({daemon}) => daemon !== own)) {
			this.#take(message, now);
			if (this.topology.passesOnInZone(scope)) {
				this.#ownZone.add(message);
			}

			if (this.topology.passesOnToZones(scope)) {
				this.#otherZones.add(message);
			}
		}

		if (sender !== own) {
			this.topology.heardDirectly(sender, scope, now);
		}

		if (this.topology.passesOnInZone(scope)) {
			this.#scheduleRelay();
		}

		this.#options.onLoads();
	}

	#take(message: PeerMessage, now: number): void {
		const {daemon, entry} = message;
		if (this.board.accept(message, now)) {
			this.#options.log.write('peers.seen', {peer: daemon, address: entry?.address});
		}

		if (entry !== undefined) {
			this.topology.add({daemon, ...entry}, now);
		}

		this.topology.heard(daemon, now);
		this.#options.onReadings(message.readings);
		this.#options.onCrashes(message.crashes);
	}

	#forgetSilent(): void {
		for (const {daemon, silentMs} of this.topology.forgetSilent(this.#options.clock.now())) {
			this.board.forget(daemon);
			this.#options.log.write('peers.lost', {peer: daemon, silentMs: Math.round(silentMs)});
		}
	}
}
