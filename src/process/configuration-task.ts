import type {ObjectStore} from '../ports/object-store.ts';
import type {Table} from '../ports/table.ts';
import {parseKeyHolder, type ConfigurationDifference, type ConfigurationEntry} from '../version/configuration.ts';
import type {Contract} from '../version/contract.ts';
import type {Clock} from './clock.ts';
import {ConfigurationMachine} from './configuration/configuration-machine.ts';
import type {PeerConfigurationSource} from './configuration/peer-configuration-source.ts';
import {TableConfigurationSource, type TableRead} from './configuration/table-configuration-source.ts';
import type {KeyDirectory} from './key-directory.ts';
import type {Log} from './log.ts';
import {Task} from './task.ts';

/** Dependencies of the configuration task. */
export type ConfigurationTaskOptions = {
	readonly log: Log;
	readonly clock: Clock;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly peers: PeerConfigurationSource;
	/** True while this daemon is one of the two in its availability zone that read the table every second. */
	readonly isPoller: () => boolean;
	/** Called with each version after it has been applied. */
	readonly onApplied?: (version: number) => void;
	/** @default a machine with all checks */
	readonly machine?: ConfigurationMachine;
};

type Message
	= | {readonly kind: 'tick'}
		| {readonly kind: 'table-read'; readonly since: number; readonly read: TableRead}
		| {readonly kind: 'table-failed'; readonly failure: unknown}
		| {readonly kind: 'peer-read'; readonly peer: string; readonly since: number; readonly difference: ConfigurationDifference}
		| {readonly kind: 'peer-failed'; readonly peer: string; readonly failure: unknown};

const tickIntervalMs = 1000;

/** Keeps the configuration of this daemon up to date, from the platform's table or from peers. */
export class ConfigurationTask extends Task<Message> {
	readonly #options: ConfigurationTaskOptions;
	readonly #source: TableConfigurationSource;
	readonly #machine: ConfigurationMachine;
	readonly #keys = new Map<string, string>();
	readonly #contracts = new Map<string, Contract>();

	constructor(options: ConfigurationTaskOptions) {
		super(options.log);
		this.#options = options;
		this.#source = new TableConfigurationSource(options.table, options.objects);
		this.#machine = options.machine ?? new ConfigurationMachine();
	}

	/** Version that is applied; 0 before the first one. */
	get version(): number {
		return this.#machine.version;
	}

	/** Active keys of customers. */
	get keys(): KeyDirectory {
		return this.#keys;
	}

	/** Active contracts by customer. */
	get contracts(): ReadonlyMap<string, Contract> {
		return this.#contracts;
	}

	/** True once a configuration has been applied. */
	get isLoaded(): boolean {
		return this.#machine.version > 0;
	}

	/** Entries written after a version, for a peer that pulls them. */
	differenceSince(version: number): ConfigurationDifference {
		return this.#machine.differenceSince(version);
	}

	/** Starts reading immediately and then every second. */
	run(): void {
		this.start({message: {kind: 'tick'}, intervalMs: tickIntervalMs});
	}

	/** Checks the versions of the peers immediately; called when one of them may have a newer version. */
	checkPeerVersions(): void {
		this.post({kind: 'tick'});
	}

	protected receive(message: Message): void {
		switch (message.kind) {
			case 'tick': {
				this.#startReads();
				return;
			}

			case 'table-read': {
				const {read: {head, difference}, since} = message;
				const isApplied = difference === undefined || this.#accept(difference, since);
				this.#machine.endTableRead(!isApplied || this.#machine.version >= head);
				this.#startReads();
				return;
			}

			case 'table-failed': {
				this.#machine.endTableRead(true);
				this.log.warn('Failed to read the configuration from the table.', {failure: message.failure});
				return;
			}

			case 'peer-read': {
				this.#machine.endPeerPull(message.peer, true);
				this.#accept(message.difference, message.since);
				this.#startReads();
				return;
			}

			case 'peer-failed': {
				this.#machine.endPeerPull(message.peer, false);
				this.log.warn('Failed to pull the configuration from a peer.', {peer: message.peer, failure: message.failure});
			}
		}
	}

	#startReads(): void {
		const now = this.#options.clock.now();
		const pull = this.#machine.startPeerPull(now, this.#options.peers.peers());
		if (pull !== undefined) {
			void this.#pullFromPeer(pull.peer, pull.since);
		}

		if (this.#machine.startTableRead(now, this.#options.isPoller())) {
			void this.#readTable(this.#machine.version);
		}
	}

	async #readTable(since: number): Promise<void> {
		try {
			const result = await this.#source.read(since);
			result.caseOf({
				Left: failure => {
					this.post({kind: 'table-failed', failure});
				},
				Right: read => {
					this.post({kind: 'table-read', since, read});
				},
			});
		} catch (error) {
			this.post({kind: 'table-failed', failure: String(error)});
		}
	}

	async #pullFromPeer(peer: string, since: number): Promise<void> {
		try {
			const result = await this.#options.peers.pull(peer, since);
			result.caseOf({
				Left: failure => {
					this.post({kind: 'peer-failed', peer, failure});
				},
				Right: difference => {
					this.post({
						kind: 'peer-read', peer, since, difference,
					});
				},
			});
		} catch (error) {
			this.post({kind: 'peer-failed', peer, failure: String(error)});
		}
	}

	#accept(difference: ConfigurationDifference, since: number): boolean {
		const acceptance = this.#machine.accept(difference, since);
		if (acceptance.kind !== 'applied') {
			return false;
		}

		for (const entry of acceptance.entries) {
			this.#apply(entry);
		}

		this.log.info('Configuration applied.', {version: this.#machine.version, entries: acceptance.entries.length});
		this.#options.onApplied?.(this.#machine.version);
		return true;
	}

	#apply({kind, name, body}: ConfigurationEntry): void {
		if (kind === 'contract') {
			this.#contracts.set(name, JSON.parse(body) as Contract);
			return;
		}

		const holder = parseKeyHolder(body);
		if (holder.kind === 'customer' && holder.state === 'active') {
			this.#keys.set(name, holder.customer);
		} else {
			this.#keys.delete(name);
		}
	}
}
