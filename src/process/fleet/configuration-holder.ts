import type {Either} from 'purify-ts';
import type {FeedRow} from '../../ports/row-feed.ts';
import type {RouteConfiguration} from '../../version/routes/route-configuration.ts';
import {RouteTable} from '../../version/routes/route-table.ts';
import {AccountDirectory} from '../accounts/account-directory.ts';
import type {DecisionLog} from './decision-log.ts';

/** Decodes the operator's configuration; the left side is a short error message. */
export type ConfigurationDecoder = (value: Uint8Array | undefined) => Either<string, RouteConfiguration>;

/** Holds the active configuration; its version never decreases. */
export class ConfigurationHolder {
	readonly #key: string;
	readonly #decode: ConfigurationDecoder;
	readonly #log: DecisionLog;
	#routeTable: RouteTable | undefined;
	#accounts: AccountDirectory | undefined;
	#activeValue: Uint8Array | undefined;

	constructor(key: string, decode: ConfigurationDecoder, log: DecisionLog) {
		this.#key = key;
		this.#decode = decode;
		this.#log = log;
	}

	/** Active routes; undefined until a configuration has been received. */
	get routeTable(): RouteTable | undefined {
		return this.#routeTable;
	}

	/** Client accounts of the active configuration; undefined if callers need no keys. */
	get accounts(): AccountDirectory | undefined {
		return this.#accounts;
	}

	/** Value of the active configuration as the operator wrote it. */
	get activeValue(): Uint8Array | undefined {
		return this.#activeValue;
	}

	/** Applies a configuration that another daemon has in force, unless an equal or newer one is active. */
	inherit(value: Uint8Array): void {
		this.accept([{key: this.#key, value, isRemoved: false}]);
	}

	/** Applies rows of the operator's table; an invalid, removed or older configuration leaves the active one unchanged. */
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
					this.#apply(configuration, value);
				},
			});
		}
	}

	#apply(configuration: RouteConfiguration, value: Uint8Array | undefined): void {
		const activeVersion = this.#routeTable?.version;
		if (activeVersion !== undefined && configuration.version <= activeVersion) {
			return;
		}

		this.#routeTable = new RouteTable(configuration);
		this.#accounts = configuration.accounts === undefined ? undefined : new AccountDirectory(configuration.accounts);
		this.#activeValue = value;
		this.#log.write('configuration.inForce', {
			version: configuration.version, replaced: activeVersion, routes: configuration.routes.length, accounts: configuration.accounts?.length, keys: this.#accounts?.size,
		});
	}
}
