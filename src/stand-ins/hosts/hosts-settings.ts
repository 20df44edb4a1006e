import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import type {Host} from '../../ports/host-list.ts';
import type {Finding} from '../../version/finding.ts';
import type {IniDocument, IniSection} from '../../version/ini-document.ts';
import {validateSection, validateSections} from '../../version/ini-schema.ts';

/** Settings of the host list stand-in. */
export type HostsSettings = {
	/** Address as `IP:PORT`. */
	readonly listen: string;
	/** Hosts from the sections `[host.ID]`. */
	readonly hosts: readonly Host[];
};

const sectionPrefix = 'host.';

const hostSchema = z.object({
	kind: z.enum(['daemon', 'engine', 'service']),
	address: z.string().min(1),
	'availability-zone': z.string().min(1),
	state: z.enum(['live', 'leaving']).default('live'),
	serves: z.string().default(''),
	fencing: z.enum(['enforced', 'ignored']).default('ignored'),
});

/** Parses the settings of the host list stand-in; returns all findings, sorted by line. */
export function parseHostsSettings(document: IniDocument): Either<readonly Finding[], HostsSettings> {
	const isHost = (section: IniSection) => section.name.startsWith(sectionPrefix);
	const rest = {...document, sections: document.sections.filter(section => !isHost(section))};
	const main = validateSections(rest, {hosts: z.object({listen: z.string().min(1)})});
	const results = document.sections.filter(section => isHost(section)).map(section => ({
		id: section.name.slice(sectionPrefix.length),
		...validateSection(document.file, section, hostSchema),
	}));
	const findings = [...main.swap().orDefault([]), ...results.flatMap(result => result.findings)];
	if (findings.length > 0) {
		return Left(findings.toSorted((a, b) => a.line - b.line));
	}

	const hosts = results.flatMap(({id, value}) => (value === undefined ? [] : [toHost(id, value)]));
	return main.chain(values => Right({listen: values.hosts.listen, hosts}));
}

function toHost(id: string, value: z.infer<typeof hostSchema>): Host {
	return {
		id,
		kind: value.kind,
		address: value.address,
		availabilityZone: value['availability-zone'],
		state: value.state,
		serves: value.serves,
		enforcesFencing: value.fencing === 'enforced',
	};
}
