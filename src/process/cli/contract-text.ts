import type {StoredContract} from '../administration/administration.ts';
import type {Contract} from '../../version/contract.ts';

/** Formats a contract in the contract file format. */
export function formatContract({version, contract}: StoredContract): string {
	const lines = [`; version ${version}`];
	let section = '';
	for (const [name, key, value] of listValues(contract)) {
		if (name !== section) {
			lines.push(`[${name}]`);
			section = name;
		}

		lines.push(`${key} = ${value}`);
	}

	return lines.join('\n');
}

/** Lists the differences between two contracts, one line per value. */
export function describeDifference(from: Contract | undefined, to: Contract): readonly string[] {
	const before = from === undefined ? new Map<string, string>() : toMap(from);
	const after = toMap(to);
	const names = new Set([...before.keys(), ...after.keys()]);
	return [...names].filter(name => before.get(name) !== after.get(name))
		.map(name => `${name}: ${before.get(name) ?? '(none)'} -> ${after.get(name) ?? '(none)'}`);
}

function toMap(contract: Contract): ReadonlyMap<string, string> {
	return new Map(listValues(contract).map(([section, key, value]) => [`[${section}] ${key}`, value]));
}

function listValues(contract: Contract): ReadonlyArray<readonly [section: string, key: string, value: string]> {
	return [
		['contract', 'customer', contract.customer],
		['contract', 'share', String(contract.share)],
		['class.live', 'first-token-ms', String(contract.live.firstTokenMs)],
		['class.live', 'between-tokens-ms', String(contract.live.betweenTokensMs)],
		['class.live', 'queue-ms', String(contract.live.queueMs)],
		['class.patient', 'deadline-s', String(contract.patient.deadlineS)],
		...contract.routes.flatMap(({path, methods, unrepeatable}) => [
			[`route.${path}`, 'methods', methods.join(', ')] as const,
			[`route.${path}`, 'unrepeatable', String(unrepeatable)] as const,
		]),
	];
}
