import {Buffer} from 'node:buffer';
import {Left} from 'purify-ts';
import {fetchSharedRows, type SharedRows} from '../../connection/row-exchange.ts';
import type {FeedRow} from '../../ports/row-feed.ts';
import type {Upstream} from '../../ports/upstream.ts';
import type {FleetSettings} from '../../version/fleet-settings.ts';
import type {Clock} from '../clock.ts';
import type {PeerLink} from '../peers/peer-link.ts';
import type {Random} from '../random.ts';
import {DroppedRows} from '../tables/dropped-rows.ts';
import type {TablePosition} from '../tables/table-position.ts';
import {readersPerZone, readsForMany, type TableAnnouncement} from '../tables/table-sharing.ts';
import {TableWatch, type TablePeers, type TableWatchOptions} from '../tables/table-watch.ts';
import {createConfigurationTimes, createListTimes} from '../tables/watch-times.ts';
import type {ConfigurationHolder} from './configuration-holder.ts';
import type {DecisionLog} from './decision-log.ts';
import type {Platform} from './fleet-daemon.ts';
import type {RegistryEvent, UpstreamRegistry} from './upstream-registry.ts';

/** Dependencies of the tables. */
export type FleetTablesOptions = {
	readonly platform: Pick<Platform, 'feed' | 'tables' | 'decodeUpstream'>;
	readonly bounds: FleetSettings['bounds'];
	readonly log: DecisionLog;
	readonly random: Random;
	readonly clock: Clock;
	/** Clock by which the age of a copy is measured. */
	readonly suspendAwareClock: Clock;
	readonly configuration: ConfigurationHolder;
	readonly registry: UpstreamRegistry;
	readonly peers: Pick<PeerLink, 'topology' | 'announceTables'>;
	/** Called when rows of the operator's table have been applied. */
	readonly onConfiguration: () => void;
	readonly onRegistryEvents: (events: readonly RegistryEvent[]) => void;
};

/** The daemon's copies of the platform's tables: the operator's configuration and the list of upstreams. */
export class FleetTables implements AsyncDisposable {
	readonly #options: FleetTablesOptions;
	readonly #configurationWatch: TableWatch;
	readonly #listWatch: TableWatch;
	readonly #droppedRows: DroppedRows;
	#hasUpstreamList = false;

	constructor(options: FleetTablesOptions) {
		this.#options = options;
		this.#droppedRows = new DroppedRows(options.clock);
		this.#configurationWatch = this.#createConfigurationWatch();
		this.#listWatch = this.#createListWatch();
	}

	/** True once the list of upstreams has been received. */
	get hasUpstreamList(): boolean {
		return this.#hasUpstreamList;
	}

	/** False while a newer configuration than the copy may be in force. */
	get isConfigurationConfirmed(): boolean {
		return this.#configurationWatch.isConfirmed;
	}

	/** Number of times that a row of the tables was read and dropped, because it could not be used. */
	get droppedRows(): number {
		return this.#droppedRows.total;
	}

	/** State of the tables that this daemon reads from the store for the others. */
	get announcements(): readonly TableAnnouncement[] {
		return this.#watches.map(({announcement}) => announcement).filter(announcement => announcement !== undefined);
	}

	get #watches(): readonly TableWatch[] {
		return [this.#configurationWatch, this.#listWatch];
	}

	start(): void {
		for (const watch of this.#watches) {
			watch.start();
		}
	}

	/** Applies changed bounds. */
	setBounds(bounds: FleetSettings['bounds']): void {
		this.#configurationWatch.setTimes(createConfigurationTimes(bounds));
		this.#listWatch.setTimes(createListTimes(bounds));
	}

	/** Reads all tables again whose copy is of another epoch. */
	noteEpoch(epoch: number): void {
		for (const watch of this.#watches) {
			watch.noteEpoch(epoch);
		}
	}

	/** Records what another daemon announced. */
	accept(daemon: string, announcements: readonly TableAnnouncement[]): void {
		for (const announcement of announcements) {
			this.#find(announcement.table)?.accept(daemon, announcement);
		}
	}

	/** Returns the rows of a table that changed after a position, for another daemon; undefined if this daemon cannot vouch for them. */
	share(table: string, after: TablePosition | undefined): SharedRows | undefined {
		return this.#find(table)?.share(after);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.#watches.map(async watch => watch[Symbol.asyncDispose]()));
	}

	#find(table: string): TableWatch | undefined {
		return this.#watches.find(watch => watch.table === table);
	}

	/** Dependencies that both watches share. */
	#watchTools(): Pick<TableWatchOptions, 'feed' | 'peers' | 'clock' | 'log' | 'random' | 'onRowFailed'> {
		const {platform: {feed}, suspendAwareClock: clock, log, random} = this.#options;
		return {
			feed,
			peers: this.#createTablePeers(),
			clock,
			log,
			random,
			onRowFailed: (key, error) => {
				this.#reportDropped(key, error instanceof Error ? error.message : String(error));
			},
		};
	}

	#createTablePeers(): TablePeers {
		const {peers, clock} = this.#options;
		return {
			isReader: () => peers.topology.zoneRank(clock.now()) < readersPerZone,
			areFollowersMany: () => readsForMany(peers.topology.zoneSize),
			async fetchRows(daemon, table, after) {
				const address = peers.topology.address(daemon);
				return address === undefined ? Left('the address of the daemon is not known') : fetchSharedRows(address, table, after);
			},
			onChangeRead() {
				peers.announceTables();
			},
		};
	}

	#createConfigurationWatch(): TableWatch {
		const {platform, bounds, configuration, onConfiguration} = this.#options;
		const accept = (rows: readonly FeedRow[]) => {
			configuration.accept(rows);
			onConfiguration();
		};

		return new TableWatch({
			...this.#watchTools(),
			table: platform.tables.operator,
			times: createConfigurationTimes(bounds),
			contentOf: ({value}) => Buffer.from(value ?? []).toString('base64'),
			listener: {
				onSnapshot: accept,
				onChanges: accept,
				onLost() {
					// The last known configuration stays active.
				},
				onRecovered() {
					// The next response contains the changes.
				},
				onRestored() {
					// An older configuration never replaces the active one.
				},
			},
		});
	}

	#createListWatch(): TableWatch {
		const {platform, bounds, clock, registry, onRegistryEvents} = this.#options;
		return new TableWatch({
			...this.#watchTools(),
			table: platform.tables.upstreams,
			times: createListTimes(bounds),
			// Heartbeats alone are no news for other daemons, and neither are entries that cannot be decoded.
			contentOf: ({key, value}) => platform.decodeUpstream(key, value).map(upstream => JSON.stringify({...upstream, heartbeatCount: 0})).orDefault(''),
			listener: {
				onSnapshot: rows => {
					this.#hasUpstreamList = true;
					onRegistryEvents(registry.replace(rows.filter(({isRemoved}) => !isRemoved).flatMap(row => this.#decodeUpstream(row)), clock.now()));
				},
				onChanges: rows => {
					onRegistryEvents(rows.flatMap(row => row.isRemoved ? registry.remove(row.key, clock.now()) : this.#decodeUpstream(row).flatMap(upstream => registry.set(upstream))));
				},
				onLost() {
					registry.markStoreLost();
				},
				onRecovered(recoveredMs) {
					registry.markStoreRecovered(clock.now() - recoveredMs);
				},
				onRestored() {
					registry.markStoreRestored(clock.now());
				},
			},
		});
	}

	#decodeUpstream({key, value}: FeedRow): readonly Upstream[] {
		return this.#options.platform.decodeUpstream(key, value).caseOf({
			Left: cause => {
				this.#reportDropped(key, cause);
				return [];
			},
			Right: (upstream): readonly Upstream[] => [upstream],
		});
	}

	#reportDropped(key: string, cause: string): void {
		const count = this.#droppedRows.drop(key);
		if (count !== undefined) {
			this.#options.log.write('upstream.invalidEntry', {upstream: key, cause, count});
		}
	}
}
