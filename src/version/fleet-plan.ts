import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {engineRoles, type EngineRole} from '../ports/order.ts';
import type {Finding} from './finding.ts';
import {parseIniDocument, type IniDocument, type IniSection} from './ini-document.ts';
import {validateSection} from './ini-schema.ts';

/** Action that a step applies to each of its upstreams. */
export type PlanAction
	= | {readonly kind: 'load'; readonly model?: string; readonly adapters?: readonly string[]; readonly version?: string}
		| {readonly kind: 'role'; readonly role: EngineRole}
		| {readonly kind: 'replace'; /** Upstream that takes over. */ readonly replacement: string}
		| {readonly kind: 'drain'}
		| {readonly kind: 'undrain'};

/** One step of a plan; it starts when all previous steps have finished. */
export type PlanStep = {
	readonly action: PlanAction;
	readonly upstreams: readonly string[];
	/** Line of the step in its file. */
	readonly line: number;
};

/** Change to the fleet, as written by an operator. */
export type FleetPlan = {
	readonly name: string;
	readonly author: string;
	readonly steps: readonly PlanStep[];
};

/** Maximum number of upstreams that one plan may hold; a transaction of the table is limited to 100 entries. */
export const planTargetLimit = 90;

const nameSchema = z.string().regex(/^[\w.\-]{1,100}$/v, 'must be a name of letters, digits, ".", "_" or "-"');
const nameListSchema = z.string().transform(text => text.split(',').map(part => part.trim())).pipe(z.array(nameSchema));
const upstreamListSchema = nameListSchema.refine(list => new Set(list).size === list.length, 'names an upstream twice');

const planSchema = z.object({name: nameSchema, author: nameSchema});
const stepSchemas = {
	load: z.object({
		action: z.literal('load'), upstreams: upstreamListSchema, model: nameSchema.optional(), adapters: nameListSchema.optional(), version: nameSchema.optional(),
	}),
	role: z.object({action: z.literal('role'), upstreams: upstreamListSchema, role: z.enum(engineRoles)}),
	replace: z.object({action: z.literal('replace'), upstream: nameSchema, with: nameSchema}),
	drain: z.object({action: z.literal('drain'), upstreams: upstreamListSchema}),
	undrain: z.object({action: z.literal('undrain'), upstreams: upstreamListSchema}),
} as const;

type ActionKind = keyof typeof stepSchemas;

/** Parses a plan file; reports all findings at once. */
export function parseFleetPlan(text: string, file: string): Either<readonly Finding[], FleetPlan> {
	const document = parseIniDocument(text, file);
	const findings: Finding[] = [...document.findings];
	const header = document.sections.find(section => section.name === 'plan');
	const plan = validateSection(file, header ?? {name: 'plan', line: 1, entries: []}, planSchema);
	findings.push(...plan.findings);
	const stepSections = document.sections.filter(section => section !== header);
	if (stepSections.length === 0) {
		findings.push({file, line: 1, message: 'the plan has no steps'});
	}

	const steps = stepSections.flatMap(section => parseStep(document, section, findings));
	findings.push(...checkSize(file, steps));
	return findings.length === 0 && plan.value !== undefined
		? Right({...plan.value, steps})
		: Left(findings.toSorted((a, b) => a.line - b.line));
}

function checkSize(file: string, steps: readonly PlanStep[]): readonly Finding[] {
	const targets = new Set(steps.flatMap(step => step.upstreams));
	return targets.size > planTargetLimit
		? [{file, line: 1, message: `the plan names ${targets.size} upstreams; at most ${planTargetLimit} are allowed`}]
		: [];
}

function parseStep(document: IniDocument, section: IniSection, findings: Finding[]): readonly PlanStep[] {
	const report = (message: string, line = section.line) => {
		findings.push({file: document.file, line, message});
		return [];
	};

	if (!/^step\.\d+$/v.test(section.name)) {
		return report(`unknown section "${section.name}"`);
	}

	const entry = section.entries.find(({key}) => key === 'action');
	if (entry === undefined || !Object.hasOwn(stepSchemas, entry.value)) {
		const kinds = Object.keys(stepSchemas).join(', ');
		return report(`key "action" must be one of ${kinds}`, entry?.line);
	}

	const result = validateSection(document.file, section, stepSchemas[entry.value as ActionKind]);
	findings.push(...result.findings);
	if (result.value === undefined) {
		return [];
	}

	const step = toStep(result.value, section.line);
	const isEmptyLoad = step.action.kind === 'load' && Object.keys(step.action).length === 1;
	return isEmptyLoad ? report('a load needs a model, adapters or a version') : [step];
}

function toStep(value: z.infer<(typeof stepSchemas)[ActionKind]>, line: number): PlanStep {
	switch (value.action) {
		case 'load': {
			const {action: kind, upstreams: targets, ...weights} = value;
			return {action: {kind, ...weights}, upstreams: targets, line};
		}

		case 'role': {
			return {action: {kind: 'role', role: value.role}, upstreams: value.upstreams, line};
		}

		case 'replace': {
			return {action: {kind: 'replace', replacement: value.with}, upstreams: [value.upstream], line};
		}

		case 'drain':
		case 'undrain': {
			return {action: {kind: value.action}, upstreams: value.upstreams, line};
		}
	}
}
