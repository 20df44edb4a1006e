import {Left, type Either} from 'purify-ts';
import {z} from 'zod';
import type {Finding} from './finding.ts';
import {parseIniDocument, type IniDocument} from './ini-document.ts';
import {validateSections, type SectionSchemas} from './ini-schema.ts';
import {integer} from './settings.ts';

/** Latency targets of a customer's live work. */
export type LiveTargets = {
	/** Maximum time to the first token, in milliseconds. @default 740 */
	readonly firstTokenMs: number;
	/** Maximum time between tokens, in milliseconds. @default 38 */
	readonly betweenTokensMs: number;
	/** Maximum time in the queue, in milliseconds. @default 2000 */
	readonly queueMs: number;
};

/** Rule for the requests below one path. */
export type RouteRule = {
	/** Path that the rule covers, including all paths below it. */
	readonly path: string;
	/** HTTP methods that the rule covers. @default ['POST'] */
	readonly methods: readonly string[];
	/** True when the requests run at most once. @default false */
	readonly unrepeatable: boolean;
};

/** Service policy of one customer. */
export type Contract = {
	readonly customer: string;
	/** Weight relative to the shares of the other customers. */
	readonly share: number;
	readonly live: LiveTargets;
	readonly patient: {
		/** Time within which patient work should finish, in seconds. @default 28800 */
		readonly deadlineS: number;
	};
	readonly routes: readonly RouteRule[];
};

const maxShare = 1_000_000;
const msPerHour = 3_600_000;
const secondsPerWeek = 604_800;
const routePrefix = 'route.';
const httpMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'];
const methodMessage = `must be a list of ${httpMethods.join(', ')}`;

/** Schema of a customer's name. */
export const customerNameSchema = z.string().regex(
	/^[a-z\d][a-z\d.\-]{0,62}$/v,
	'must be a name of lower-case letters, digits, "." or "-"',
);

const fixedSchemas = {
	contract: z.object({customer: customerNameSchema, share: integer(1, maxShare)}),
	'class.live': z.object({
		'first-token-ms': integer(1, msPerHour).default(740),
		'between-tokens-ms': integer(1, msPerHour).default(38),
		'queue-ms': integer(0, msPerHour).default(2000),
	}),
	'class.patient': z.object({'deadline-s': integer(1, secondsPerWeek).default(28_800)}),
} as const;

const routeSchema = z.object({
	methods: z.string().transform(parseMethods)
		.refine(methods => methods.every(method => httpMethods.includes(method)), methodMessage).default(['POST']),
	unrepeatable: z.enum(['true', 'false'], 'must be true or false').transform(value => value === 'true').default(false),
});

/** Parses a contract file; reports all findings at once. */
export function parseContract(text: string, file: string): Either<readonly Finding[], Contract> {
	const document = parseIniDocument(text, file);
	const routeNames = document.sections.map(section => section.name).filter(name => name.startsWith(routePrefix));
	const pathFindings = findMalformedPaths(document);
	const schemas: typeof fixedSchemas & SectionSchemas = {
		...fixedSchemas,
		...Object.fromEntries(routeNames.map(name => [name, routeSchema])),
	};
	const values = validateSections(document, schemas);
	if (pathFindings.length > 0) {
		const findings = values.swap().orDefault([]);
		return Left([...findings, ...pathFindings].toSorted((a, b) => a.line - b.line));
	}

	return values.map(sections => ({
		customer: sections.contract.customer,
		share: sections.contract.share,
		live: {
			firstTokenMs: sections['class.live']['first-token-ms'],
			betweenTokensMs: sections['class.live']['between-tokens-ms'],
			queueMs: sections['class.live']['queue-ms'],
		},
		patient: {deadlineS: sections['class.patient']['deadline-s']},
		routes: routeNames.map(name => ({
			path: name.slice(routePrefix.length),
			...(sections[name] as z.infer<typeof routeSchema>),
		})),
	}));
}

/** Finds the rule that covers a request; the longest path wins. */
export function resolveRoute(contract: Contract, method: string, path: string): RouteRule | undefined {
	if (contract.routes.length === 0) {
		return undefined;
	}

	const normalizedPath = normalizePath(path);
	const matching = contract.routes.filter(rule => rule.methods.includes(method) && isCovered(normalizedPath, rule.path));
	return matching.toSorted((a, b) => b.path.length - a.path.length)[0];
}

function isCovered(path: string, prefix: string): boolean {
	return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/** Resolves percent-encoding, dot segments and repeated slashes, so that another spelling of a path cannot bypass its rule. */
function normalizePath(path: string): string {
	const {pathname} = new URL(path.replaceAll(/\/{2,}/gv, '/'), 'http://localhost');
	try {
		return decodeURIComponent(pathname).replaceAll(/\/{2,}/gv, '/');
	} catch {
		return pathname;
	}
}

function findMalformedPaths(document: IniDocument): readonly Finding[] {
	return document.sections
		.filter(({name}) => name.startsWith(routePrefix) && !/^\/[^\s?#]*$/v.test(name.slice(routePrefix.length)))
		.map(({name, line}) => ({
			file: document.file,
			line,
			message: `section "${name}": the path must start with "/" and have no blanks, "?" or "#"`,
		}));
}

function parseMethods(text: string): readonly string[] {
	return text.split(',').map(method => method.trim().toUpperCase());
}
