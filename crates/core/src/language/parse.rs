//! Parser of the language, based on `winnow`.

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

/// Length of the longest text that is accepted, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

const EXPECTED_KIND: &str =
    "a kind: organisation, model, pipeline, service, backend, link or deployment";
const EXPECTED_STATEMENT: &str = "`put`, `set`, `delete` or `}`";
const EXPECTED_VALUE: &str = "a value: a word, a number, \"text\", START..END or [list]";

type Input<'i> = LocatingSlice<&'i str>;
type Parsed<T> = ModalResult<T>;

/// Parses a batch.
///
/// # Errors
///
/// Returns the place of the first error, and what was expected there.
pub fn parse_script(text: &str) -> Result<Script, LanguageError> {
    let script = parse_all(text, |input: &mut Input<'_>| script(input, text))?;
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
/// Returns the place of the first error, and what was expected there.
pub fn parse_query(text: &str) -> Result<Query, LanguageError> {
    parse_all(text, |input: &mut Input<'_>| query(input, text))
}

fn parse_all<T>(
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
    parsed.map_err(|error| to_language_error(text, input.current_token_start(), error))
}

fn to_language_error(text: &str, offset: usize, error: ErrMode<ContextError>) -> LanguageError {
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

fn fail<T>(expected: &'static str) -> Parsed<T> {
    let mut error = ContextError::new();
    error.push(StrContext::Expected(StrContextValue::Description(expected)));
    Err(ErrMode::Cut(error))
}

/// Runs a parser. If it fails, the error points to the start of its input.
fn parse_or_fail<'i, T>(
    input: &mut Input<'i>,
    mut parser: impl Parser<Input<'i>, T, ErrMode<ContextError>>,
    expected: &'static str,
) -> Parsed<T> {
    let start = input.checkpoint();
    match parser.parse_next(input) {
        Ok(value) => Ok(value),
        Err(_) => {
            input.reset(&start);
            fail(expected)
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
        fail("the end")
    }
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:-".contains(c)
}

fn symbol(input: &mut Input<'_>, c: char, expected: &'static str) -> Parsed<()> {
    space(input)?;
    parse_or_fail(input, c.void(), expected)
}

fn word<'i>(input: &mut Input<'i>, expected: &'static str) -> Parsed<&'i str> {
    space(input)?;
    parse_or_fail(input, take_while(1.., is_word), expected)
}

/// Parses a word and converts it to a type.
fn parse_word_as<T: std::str::FromStr>(input: &mut Input<'_>, expected: &'static str) -> Parsed<T> {
    space(input)?;
    let parser = take_while(1.., |c| is_word(c) || c == '>').parse_to();
    parse_or_fail(input, parser, expected)
}

fn accept_keyword(input: &mut Input<'_>, keyword: &'static str) -> Parsed<bool> {
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
    let kind = parse_word_as::<Kind>(input, EXPECTED_KIND)?;
    let name = parse_word_as::<String>(input, "a name")?;
    Ok(ObjectKey { kind, name })
}

fn script(input: &mut Input<'_>, text: &str) -> Parsed<Script> {
    if !accept_keyword(input, "batch")? {
        return fail("`batch`");
    }
    let batch = parse_word_as::<BatchId>(input, "the batch's id")?;
    let at = match accept_keyword(input, "at")? {
        true => Some(Revision(parse_word_as(input, "a revision")?)),
        false => None,
    };
    symbol(input, '{', "`{` or `at REVISION`")?;
    let mut places = PlaceTracker::new(text);
    let mut statements = Vec::new();
    loop {
        space(input)?;
        if opt('}').parse_next(input)?.is_some() {
            break;
        }
        statements.push(statement(input, &mut places)?);
        space(input)?;
        opt(';').parse_next(input)?;
    }
    Ok(Script {
        batch,
        at,
        statements,
    })
}

fn statement(input: &mut Input<'_>, places: &mut PlaceTracker<'_>) -> Parsed<Located<Statement>> {
    space(input)?;
    let place = places.advance_to(input.current_token_start());
    let start = input.checkpoint();
    let (key, verb) = match word(input, EXPECTED_STATEMENT)? {
        "put" => (key(input)?, Verb::Put(fields(input, places)?)),
        "set" => (key(input)?, Verb::Set(fields(input, places)?)),
        "delete" => (key(input)?, Verb::Delete),
        _ => {
            input.reset(&start);
            return fail(EXPECTED_STATEMENT);
        }
    };
    let value = Statement { key, verb };
    Ok(Located { value, place })
}

fn fields(input: &mut Input<'_>, places: &mut PlaceTracker<'_>) -> Parsed<Vec<Located<Field>>> {
    symbol(input, '{', "`{`")?;
    let mut fields = Vec::new();
    loop {
        space(input)?;
        if opt('}').parse_next(input)?.is_some() {
            return Ok(fields);
        }
        let place = places.advance_to(input.current_token_start());
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
    word(input, EXPECTED_VALUE).map(unquoted)
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
    parse_or_fail(input, '"'.void(), "`\"` on the same line")?;
    Ok(Some(text))
}

fn unquoted(word: &str) -> Literal {
    let layers = word.split_once("..").and_then(|(start, end)| {
        let parse = |part: &str| part.parse::<u16>().ok();
        Some((parse(start)?, parse(end)?))
    });
    match (word, word.parse(), layers) {
        ("true", ..) => Literal::Bool(true),
        ("false", ..) => Literal::Bool(false),
        (_, Ok(number), _) => Literal::Number(number),
        (_, _, Some((start, end))) => Literal::Layers(start, end),
        _ => Literal::Text(word.to_owned()),
    }
}

fn query(input: &mut Input<'_>, text: &str) -> Parsed<Query> {
    if accept_keyword(input, "show")? {
        return show(input, text);
    }
    if accept_keyword(input, "explain")? {
        if accept_keyword(input, "batch")? {
            return Ok(Query::Batch(parse_word_as(input, "the batch's id")?));
        }
        return key(input).map(Query::Object);
    }
    fail("`show` or `explain`")
}

fn show(input: &mut Input<'_>, text: &str) -> Parsed<Query> {
    if accept_keyword(input, "nodes")? {
        return Ok(Query::Nodes);
    }
    let kind = parse_word_as::<Kind>(input, "`nodes` or a kind, such as `backend`")?;
    let mut conditions = Vec::new();
    let mut name = None;
    if accept_keyword(input, "where")? {
        conditions.push(condition(input, text)?);
        while accept_keyword(input, "and")? {
            conditions.push(condition(input, text)?);
        }
    } else {
        space(input)?;
        if !input.is_empty() {
            name = Some(parse_word_as::<String>(
                input,
                "a name, `where` or the end",
            )?);
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
    let comparison = parse_or_fail(input, symbols, "`=`, `!=`, `<` or `>`")?;
    let value = Condition {
        field,
        comparison,
        value: literal(input)?,
    };
    Ok(Located { value, place })
}

/// Converts increasing byte offsets to places. All conversions together take time
/// linear in the length of the text.
struct PlaceTracker<'a> {
    text: &'a str,
    offset: usize,
    place: Place,
}

impl<'a> PlaceTracker<'a> {
    fn new(text: &'a str) -> Self {
        let place = Place { line: 1, column: 1 };
        Self {
            text,
            offset: 0,
            place,
        }
    }

    fn advance_to(&mut self, offset: usize) -> Place {
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
