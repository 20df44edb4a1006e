import type {Either} from 'purify-ts';
import {z} from 'zod';
import {parseAddress, type Address} from '../process/address.ts';
import type {Finding} from '../version/finding.ts';
import {parseIniDocument} from '../version/ini-document.ts';
import {validateSections} from '../version/ini-schema.ts';
import {defaultChangeMs} from './engine/engine-orders.ts';
import {EngineServer} from './engine/engine-server.ts';
import {parseHostsSettings} from './hosts/hosts-settings.ts';
import {HostsServer} from './hosts/hosts-server.ts';
import {PlatformServer} from './platform/platform-server.ts';
import {ServiceServer} from './service/service-server.ts';
import type {StandInServer} from './stand-in-server.ts';

/** External systems that have a stand-in. */
export const standInKinds = ['platform', 'hosts', 'engine', 'service'] as const;

/** External system that a stand-in replaces. */
export type StandInKind = (typeof standInKinds)[number];

/** A stand-in that is ready to listen. */
export type StandIn = {
	readonly server: Pick<StandInServer, 'listen' | typeof Symbol.asyncDispose>;
	readonly address: Address;
};

const listen = z.string().min(1);

const schemas = {
	platform: {platform: z.object({listen})},
	engine: {
		engine: z.object({
			listen,
			id: z.string().min(1),
			model: z.string().min(1),
			role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
			'step-base-ms': z.coerce.number().positive().default(5),
			'step-per-sequence-ms': z.coerce.number().min(0).default(0.1),
			'prefill-ms-per-token': z.coerce.number().min(0).default(0.05),
			'max-sequences': z.coerce.number().int().positive().default(64),
			'kv-pieces': z.coerce.number().int().positive().default(400),
			fencing: z.enum(['enforced', 'ignored']).default('enforced'),
			'change-ms': z.coerce.number().int().min(0).default(defaultChangeMs),
			version: z.string().min(1).default('1'),
		}),
	},
	service: {service: z.object({listen})},
} as const;

/** Creates a stand-in from its settings text, or returns all findings. */
export function createStandIn(kind: StandInKind, text: string, file: string): Either<readonly Finding[], StandIn> {
	const document = parseIniDocument(text, file);
	switch (kind) {
		case 'platform': {
			return validateSections(document, schemas.platform)
				.map(values => ({server: new PlatformServer(), address: parseAddress(values.platform.listen)}));
		}

		case 'hosts': {
			return parseHostsSettings(document)
				.map(settings => ({server: new HostsServer(settings.hosts), address: parseAddress(settings.listen)}));
		}

		case 'engine': {
			return validateSections(document, schemas.engine).map(({engine}) => ({
				server: new EngineServer({
					id: engine.id,
					model: engine.model,
					speed: {
						role: engine.role,
						stepBaseMs: engine['step-base-ms'],
						stepPerSequenceMs: engine['step-per-sequence-ms'],
						prefillMsPerToken: engine['prefill-ms-per-token'],
						maxSequences: engine['max-sequences'],
						kvPieces: engine['kv-pieces'],
					},
					orders: {
						enforcesFencing: engine.fencing === 'enforced', changeMs: engine['change-ms'], version: engine.version,
					},
				}),
				address: parseAddress(engine.listen),
			}));
		}

		case 'service': {
			return validateSections(document, schemas.service)
				.map(values => ({server: new ServiceServer(), address: parseAddress(values.service.listen)}));
		}
	}
}
