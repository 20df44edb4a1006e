import type {Either} from 'purify-ts';
import type {FeedRow} from '../../ports/row-feed.ts';
import type {RouteConfiguration} from '../../version/routes/route-configuration.ts';
import {RouteTable} from '../../version/routes/route-table.ts';
import type {DecisionLog} from './decision-log.ts';

/** Decodes the operator's configuration; a failure is a short message. */
export type ConfigurationDecoder = (value: Uint8Array | undefined) => Either<string, RouteConfiguration>;

/** Configuration in force; its version never falls. */
export class ConfigurationHolder {
	readonly #key: string;
	readonly #decode: ConfigurationDecoder;
	readonly #log: DecisionLog;
	#routeTable: RouteTable | undefined;

	constructor(key: string, decode: ConfigurationDecoder, log: DecisionLog) {
		this.#key = key;
		this.#decode = decode;
		this.#log = log;
	}

	/** Routes in force; undefined until a configuration is known. */
	get routeTable(): RouteTable | undefined {
		return this.#routeTable;
	}

	/** Takes rows of the operator's table; an invalid or older configuration leaves the present one in force. */
	accept(rows: readonly FeedRow[]): void {
		for (const {value, isRemoved} of rows.filter(({key}) => key === this.#key)) {
			if (isRemoved) {
				this.#log.write('configuration.removed', {inForce: this.#routeTable?.version});
				continue;
			}

			this.#decode(value).caseOf({
				Left: cause => {
					this.#log.write('configuration.invalid', {cause, inForce: this.#routeTable?.version});
				},
				Right: configuration => {
					this.#apply(configuration);
				},
			});
		}
	}

	#apply(configuration: RouteConfiguration): void {
		const last = this.#routeTable?.version;
		if (last !== undefined && configuration.version <= last) {
			return;
		}

		this.#routeTable = new RouteTable(configuration);
		this.#log.write('configuration.inForce', {version: configuration.version, replaced: last, routes: configuration.routes.length});
	}
}
