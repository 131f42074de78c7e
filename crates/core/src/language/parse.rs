//! Parses the language with `winnow`.

use winnow::{
    LocatingSlice, ModalResult, Parser,
    ascii::{multispace1, till_line_ending},
    combinator::{alt, opt, preceded, repeat},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    stream::{Location, Stream},
    token::{any, take_while},
};

use super::{
    Comparison, Condition, Field, LanguageError, Literal, Located, Place, Query, Script, Statement,
    Verb,
};
use crate::{
    config::{Kind, MAX_BATCH_CHANGES, ObjectKey},
    ids::{BatchId, Revision},
};

/// Longest text that is parsed, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

const KINDS: &str = "a kind: organisation, model, pipeline, service, backend, link or deployment";
const STATEMENT: &str = "`put`, `set`, `delete` or `}`";
const VALUE: &str = "a value: a word, a number, \"text\", START..END or [list]";

type Input<'i> = LocatingSlice<&'i str>;
type Parsed<T> = ModalResult<T>;

/// Parses a batch.
///
/// # Errors
///
/// Says where the text stops being a batch and what was expected there.
pub fn parse_script(text: &str) -> Result<Script, LanguageError> {
    let script = whole(text, |input: &mut Input<'_>| script(input, text))?;
    if script.statements.len() > MAX_BATCH_CHANGES {
        let message = format!("a batch holds at most {MAX_BATCH_CHANGES} statements");
        return Err(error_at(text, 0, message));
    }
    Ok(script)
}

/// Parses a query.
///
/// # Errors
///
/// Says where the text stops being a query and what was expected there.
pub fn parse_query(text: &str) -> Result<Query, LanguageError> {
    whole(text, |input: &mut Input<'_>| query(input, text))
}

fn whole<T>(
    text: &str,
    parse: impl FnMut(&mut Input<'_>) -> Parsed<T>,
) -> Result<T, LanguageError> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("a text has at most {MAX_TEXT_BYTES} bytes");
        return Err(error_at(text, 0, message));
    }
    let mut input = LocatingSlice::new(text);
    let mut parse = parse;
    let parsed = parse(&mut input).and_then(|value| {
        end(&mut input)?;
        Ok(value)
    });
    parsed.map_err(|error| describe(text, input.current_token_start(), error))
}

fn describe(text: &str, offset: usize, error: ErrMode<ContextError>) -> LanguageError {
    let inner = error.into_inner().unwrap_or_default();
    let expected = inner.context().find_map(|context| match context {
        StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let rest = text.get(offset..).unwrap_or_default();
    let is_edge = |c: char| c.is_whitespace() || "{}[]=,;".contains(c);
    let token = rest.split(is_edge).next().unwrap_or_default();
    let found = match rest.chars().next() {
        None => "the end".to_owned(),
        Some(c) if token.is_empty() => format!("{c:?}"),
        Some(_) => format!("{:?}", token.chars().take(40).collect::<String>()),
    };
    let expected = expected.unwrap_or_else(|| "something else".to_owned());
    error_at(text, offset, format!("expected {expected}, found {found}"))
}

fn error_at(text: &str, offset: usize, message: String) -> LanguageError {
    LanguageError {
        place: Place::of(text, offset),
        message,
    }
}

fn refuse<T>(expected: &'static str) -> Parsed<T> {
    let mut error = ContextError::new();
    error.push(StrContext::Expected(StrContextValue::Description(expected)));
    Err(ErrMode::Cut(error))
}

/// Runs a parser; when it fails, the error is at its beginning.
fn or_expected<'i, T>(
    input: &mut Input<'i>,
    mut parser: impl Parser<Input<'i>, T, ErrMode<ContextError>>,
    expected: &'static str,
) -> Parsed<T> {
    let start = input.checkpoint();
    match parser.parse_next(input) {
        Ok(value) => Ok(value),
        Err(_) => {
            input.reset(&start);
            refuse(expected)
        }
    }
}

fn space(input: &mut Input<'_>) -> Parsed<()> {
    let comment = ('#', till_line_ending).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn end(input: &mut Input<'_>) -> Parsed<()> {
    space(input)?;
    if input.is_empty() {
        Ok(())
    } else {
        refuse("the end")
    }
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:-".contains(c)
}

fn symbol(input: &mut Input<'_>, c: char, expected: &'static str) -> Parsed<()> {
    space(input)?;
    or_expected(input, c.void(), expected)
}

fn word<'i>(input: &mut Input<'i>, expected: &'static str) -> Parsed<&'i str> {
    space(input)?;
    or_expected(input, take_while(1.., is_word), expected)
}

/// Reads a word that must be of a type.
fn typed<T: std::str::FromStr>(input: &mut Input<'_>, expected: &'static str) -> Parsed<T> {
    space(input)?;
    let parser = take_while(1.., |c| is_word(c) || c == '>').parse_to();
    or_expected(input, parser, expected)
}

fn accept(input: &mut Input<'_>, keyword: &'static str) -> Parsed<bool> {
    space(input)?;
    let start = input.checkpoint();
    let found = opt(take_while(1.., is_word)).parse_next(input)?;
    if found == Some(keyword) {
        return Ok(true);
    }
    input.reset(&start);
    Ok(false)
}

fn place(input: &mut Input<'_>, text: &str) -> Parsed<Place> {
    space(input)?;
    Ok(Place::of(text, input.current_token_start()))
}

fn key(input: &mut Input<'_>) -> Parsed<ObjectKey> {
    let kind = typed::<Kind>(input, KINDS)?;
    let name = typed::<String>(input, "a name")?;
    Ok(ObjectKey { kind, name })
}

fn script(input: &mut Input<'_>, text: &str) -> Parsed<Script> {
    if !accept(input, "batch")? {
        return refuse("`batch`");
    }
    let batch = typed::<BatchId>(input, "the batch's id")?;
    let at = match accept(input, "at")? {
        true => Some(Revision(typed(input, "a revision")?)),
        false => None,
    };
    symbol(input, '{', "`{` or `at REVISION`")?;
    let mut lines = Lines::new(text);
    let mut statements = Vec::new();
    loop {
        space(input)?;
        if opt('}').parse_next(input)?.is_some() {
            break;
        }
        statements.push(statement(input, &mut lines)?);
        space(input)?;
        opt(';').parse_next(input)?;
    }
    Ok(Script {
        batch,
        at,
        statements,
    })
}

fn statement(input: &mut Input<'_>, lines: &mut Lines<'_>) -> Parsed<Located<Statement>> {
    space(input)?;
    let place = lines.place(input.current_token_start());
    let start = input.checkpoint();
    let (key, verb) = match word(input, STATEMENT)? {
        "put" => (key(input)?, Verb::Put(fields(input, lines)?)),
        "set" => (key(input)?, Verb::Set(fields(input, lines)?)),
        "delete" => (key(input)?, Verb::Delete),
        _ => {
            input.reset(&start);
            return refuse(STATEMENT);
        }
    };
    let value = Statement { key, verb };
    Ok(Located { value, place })
}

fn fields(input: &mut Input<'_>, lines: &mut Lines<'_>) -> Parsed<Vec<Located<Field>>> {
    symbol(input, '{', "`{`")?;
    let mut fields = Vec::new();
    loop {
        space(input)?;
        if opt('}').parse_next(input)?.is_some() {
            return Ok(fields);
        }
        let place = lines.place(input.current_token_start());
        let name = word(input, "a field's name or `}`")?.to_owned();
        symbol(input, '=', "`=`")?;
        let value = literal(input)?;
        let value = Field { name, value };
        fields.push(Located { value, place });
        space(input)?;
        opt(',').parse_next(input)?;
    }
}

fn literal(input: &mut Input<'_>) -> Parsed<Literal> {
    space(input)?;
    if opt('[').parse_next(input)?.is_some() {
        return list(input);
    }
    if let Some(text) = quoted(input)? {
        return Ok(Literal::Text(text));
    }
    word(input, VALUE).map(unquoted)
}

fn list(input: &mut Input<'_>) -> Parsed<Literal> {
    let mut items = Vec::new();
    loop {
        space(input)?;
        if opt(']').parse_next(input)?.is_some() {
            return Ok(Literal::List(items));
        }
        let item = match quoted(input)? {
            Some(text) => text,
            None => word(input, "a word or `]`")?.to_owned(),
        };
        items.push(item);
        space(input)?;
        opt(',').parse_next(input)?;
    }
}

fn quoted(input: &mut Input<'_>) -> Parsed<Option<String>> {
    if opt('"').parse_next(input)?.is_none() {
        return Ok(None);
    }
    let part = alt((
        preceded('\\', any),
        any.verify(|c: &char| *c != '"' && *c != '\\' && *c != '\n'),
    ));
    let text: String = repeat(0.., part).parse_next(input)?;
    or_expected(input, '"'.void(), "`\"` on the same line")?;
    Ok(Some(text))
}

fn unquoted(word: &str) -> Literal {
    let layers = word.split_once("..").and_then(|(start, end)| {
        let parse = |part: &str| part.parse::<u16>().ok();
        Some((parse(start)?, parse(end)?))
    });
    match (word, word.parse(), layers) {
        ("true", ..) => Literal::Flag(true),
        ("false", ..) => Literal::Flag(false),
        (_, Ok(number), _) => Literal::Number(number),
        (_, _, Some((start, end))) => Literal::Layers(start, end),
        _ => Literal::Text(word.to_owned()),
    }
}

fn query(input: &mut Input<'_>, text: &str) -> Parsed<Query> {
    if accept(input, "show")? {
        return show(input, text);
    }
    if accept(input, "explain")? {
        if accept(input, "batch")? {
            return Ok(Query::Batch(typed(input, "the batch's id")?));
        }
        return key(input).map(Query::Object);
    }
    refuse("`show` or `explain`")
}

fn show(input: &mut Input<'_>, text: &str) -> Parsed<Query> {
    if accept(input, "nodes")? {
        return Ok(Query::Nodes);
    }
    let kind = typed::<Kind>(input, "`nodes` or a kind, such as `backend`")?;
    let mut conditions = Vec::new();
    let mut name = None;
    if accept(input, "where")? {
        conditions.push(condition(input, text)?);
        while accept(input, "and")? {
            conditions.push(condition(input, text)?);
        }
    } else {
        space(input)?;
        if !input.is_empty() {
            name = Some(typed::<String>(input, "a name, `where` or the end")?);
        }
    }
    Ok(Query::Objects {
        kind,
        name,
        conditions,
    })
}

fn condition(input: &mut Input<'_>, text: &str) -> Parsed<Located<Condition>> {
    let place = place(input, text)?;
    let field = word(input, "a field's name")?.to_owned();
    space(input)?;
    let symbols = alt((
        "!=".value(Comparison::Unequal),
        '='.value(Comparison::Equal),
        '<'.value(Comparison::Less),
        '>'.value(Comparison::Greater),
    ));
    let comparison = or_expected(input, symbols, "`=`, `!=`, `<` or `>`")?;
    let value = Condition {
        field,
        comparison,
        value: literal(input)?,
    };
    Ok(Located { value, place })
}

/// Finds places of offsets that only rise, in time linear in the text.
struct Lines<'a> {
    text: &'a str,
    offset: usize,
    place: Place,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let place = Place { line: 1, column: 1 };
        Self {
            text,
            offset: 0,
            place,
        }
    }

    fn place(&mut self, offset: usize) -> Place {
        for c in self.text[self.offset..offset].chars() {
            if c == '\n' {
                self.place.line += 1;
                self.place.column = 1;
            } else {
                self.place.column += 1;
            }
        }
        self.offset = offset;
        self.place
    }
}
